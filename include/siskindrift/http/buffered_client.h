// HTTP client that buffers each response, for small responses.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "siskindrift/http/client.h"
#include "siskindrift/observe/log.h"

namespace siskindrift::http {

/// A complete response.
struct buffered_response {
    client_head head;
    std::string body;
};

/// Sends requests and passes each complete response to a callback. When all responses together are
/// too large, the largest is dropped. Not thread-safe: the context must run on one thread only.
class buffered_client final : public client_handler {
public:
    /// Receives the response, or none when it could not be received completely.
    using completion = std::function<void(std::optional<buffered_response>)>;

    /// @param max_bytes limit on the bodies of all responses that are not complete yet.
    explicit buffered_client(boost::asio::io_context& context,
                             std::size_t max_bytes = default_max_bytes)
        : m_client(context, *this), m_max_bytes(max_bytes)
    {
    }

    /// Starts a call; its `id` and the limits of its response are assigned here.
    void start(client_call call, completion done)
    {
        call.id = m_next++;
        call.max_body_bytes = max_body_bytes;
        call.total_timeout = call.connect_timeout + call.head_timeout + call.progress_timeout;
        m_open[call.id].done = std::move(done);
        m_client.start(std::move(call));
    }

    /// Closes the idle connections to @p address.
    void close_idle_connections(const std::string& address)
    {
        m_client.close_idle_connections(address);
    }

    /// Returns how many calls have not ended.
    [[nodiscard]] std::size_t open_calls() const { return m_open.size(); }

private:
    // More than a report of an engine with all its adapters.
    static constexpr std::size_t max_body_bytes = 1024UL * 1024;
    static constexpr std::size_t default_max_bytes = 16UL * 1024 * 1024;

    struct open_call {
        completion done;
        buffered_response response;
    };

    void on_head(std::uint64_t call, const client_head& head) override
    {
        m_open[call].response.head = head;
    }
    void on_data(std::uint64_t call, const std::string& bytes) override
    {
        m_open[call].response.body += bytes;
        m_bytes += bytes.size();
        if (m_bytes > m_max_bytes) {
            drop_largest();
        }
    }
    void on_end(std::uint64_t call, const call_end& end) override
    {
        auto ended = m_open.extract(call);
        if (ended.empty()) {
            return;
        }
        m_bytes -= ended.mapped().response.body.size();
        const bool complete = end.result == call_result::complete;
        ended.mapped().done(complete ? std::optional{std::move(ended.mapped().response)}
                                     : std::nullopt);
    }

    void drop_largest()
    {
        const auto largest =
            std::max_element(m_open.begin(), m_open.end(), [](const auto& left, const auto& right) {
                return left.second.response.body.size() < right.second.response.body.size();
            });
        auto dropped = m_open.extract(largest);
        m_bytes -= dropped.mapped().response.body.size();
        observe::warn("response_dropped", {{"bytes", dropped.mapped().response.body.size()},
                                           {"limit", m_max_bytes},
                                           {"reason", "all responses together are too large"}});
        m_client.cancel(dropped.key());
        dropped.mapped().done(std::nullopt);
    }

    client m_client;
    std::size_t m_max_bytes;
    std::size_t m_bytes = 0; ///< Of the bodies of all open calls.
    std::map<std::uint64_t, open_call> m_open;
    std::uint64_t m_next = 1;
};

} // namespace siskindrift::http
