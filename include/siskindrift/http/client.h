// HTTP/1.1 client with a pool of idle connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "siskindrift/core/clock.h"
#include "siskindrift/http/server.h"

namespace siskindrift::http {

/// How a call ended.
enum class call_result : std::uint8_t {
    complete,        ///< The answer is whole by its framing.
    not_sent,        ///< No connection could be made; no byte of the request left.
    connection_lost, ///< The connection broke.
    timed_out,       ///< A limit passed without progress.
};

/// Head of an answer.
struct client_head {
    std::uint16_t status = 0;
    header_list headers;

    [[nodiscard]] std::string header(const std::string& name) const;
};

/// One call.
struct client_call {
    std::uint64_t id = 0;
    std::string address; ///< IP:port.
    std::string method = "POST";
    std::string path;
    std::string body;
    header_list headers;
    bool repeatable = false; ///< May use an idle connection, which may be dead.
    /// A call that isn't repeatable uses a connection that was idle for at most this long.
    core::duration max_idle_time{};
    /// Answers whose header of this name has another value belong to somebody else and are
    /// passed over; empty when answers carry no such name.
    std::string match_header;
    std::string match_value;
    core::duration connect_timeout = core::milliseconds{1000};
    core::duration head_timeout = core::milliseconds{5000};
    core::duration progress_timeout = core::milliseconds{5000};
};

/// Receives the parts of answers, in order for one call. Called from any worker.
class client_handler {
public:
    client_handler() = default;
    client_handler(const client_handler&) = delete;
    client_handler& operator=(const client_handler&) = delete;
    virtual ~client_handler() = default;

    virtual void on_head(std::uint64_t call, const client_head& head) = 0;
    virtual void on_data(std::uint64_t call, const std::string& bytes) = 0;
    /// Always comes last, unless the call was cancelled.
    virtual void on_end(std::uint64_t call, call_result how) = 0;
};

/// Makes calls. Thread-safe.
class client {
public:
    client(boost::asio::io_context& context, client_handler& handler);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    void start(client_call call);
    /// Closes the idle connections to @p address.
    void close_idle_connections(const std::string& address);
    /// Breaks the call's connection; `on_end` may no longer come.
    void cancel(std::uint64_t call);
    [[nodiscard]] std::size_t open_calls() const;

    /// @internal
    class implementation;

private:
    std::shared_ptr<implementation> m_implementation;
};

} // namespace siskindrift::http
