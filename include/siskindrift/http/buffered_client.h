// Calls whose answers are small and wanted whole.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "siskindrift/http/client.h"

namespace siskindrift::http {

/// A whole answer.
struct buffered_response {
    client_head head;
    std::string body;
};

/// Makes calls and hands each whole answer to a function. For one worker only.
class buffered_client final : public client_handler {
public:
    /// Receives the answer, or none when no whole answer came.
    using completion = std::function<void(std::optional<buffered_response>)>;

    explicit buffered_client(boost::asio::io_context& context) : m_client(context, *this) {}

    void start(client_call call, completion done)
    {
        call.id = m_next++;
        m_open[call.id].done = std::move(done);
        m_client.start(std::move(call));
    }

    /// Returns how many calls have not ended.
    [[nodiscard]] std::size_t open() const { return m_open.size(); }

private:
    struct open_call {
        completion done;
        buffered_response answer;
    };

    void on_head(std::uint64_t call, const client_head& head) override
    {
        m_open[call].answer.head = head;
    }
    void on_data(std::uint64_t call, const std::string& bytes) override
    {
        m_open[call].answer.body += bytes;
    }
    void on_end(std::uint64_t call, call_result how) override
    {
        auto ended = m_open.extract(call);
        if (ended.empty()) {
            return;
        }
        const bool whole = how == call_result::complete;
        ended.mapped().done(whole ? std::optional{std::move(ended.mapped().answer)} : std::nullopt);
    }

    client m_client;
    std::map<std::uint64_t, open_call> m_open;
    std::uint64_t m_next = 1;
};

} // namespace siskindrift::http
