// HTTP/1.1 server: whole requests in, whole or streamed answers out.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/verdict.h"

namespace siskindrift::http {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// A request whose body is whole.
struct server_request {
    std::string method;
    std::string target;
    std::string body;
    std::string remote_address;
    header_list headers;

    /// Returns the value of a header without regard to case, or an empty text.
    [[nodiscard]] std::string header(const std::string& name) const;
};

/// The place for one answer. Thread-safe; calls after the end or after the caller left do
/// nothing.
class responder {
public:
    responder() = default;
    responder(const responder&) = delete;
    responder& operator=(const responder&) = delete;
    virtual ~responder() = default;

    /// Sends a whole answer.
    virtual void respond(std::uint16_t status, header_list headers, std::string body) = 0;
    /// Begins a chunked answer.
    virtual void begin(std::uint16_t status, header_list headers) = 0;
    /// Sends a piece of a chunked answer.
    virtual void write_chunk(std::string data) = 0;
    /// Ends a chunked answer.
    virtual void end() = 0;
    /// Breaks the connection, so that the caller can't take a part for the whole.
    virtual void abort() = 0;
    /// Returns the bytes that the caller has not read yet.
    [[nodiscard]] virtual std::size_t backlog() const = 0;
};

/// Bounds against misbehaving callers.
struct server_limits {
    std::size_t max_connections = 20'000;
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    core::duration header_timeout = core::milliseconds{10'000};
    core::duration body_timeout = core::milliseconds{30'000};
    core::duration idle_timeout = core::milliseconds{75'000};
    core::duration write_timeout = core::milliseconds{30'000}; // a caller that reads nothing
    std::size_t max_backlog_bytes = 1024 * 1024;
};

/// Receives requests. Called from any worker.
class server_handler {
public:
    server_handler() = default;
    server_handler(const server_handler&) = delete;
    server_handler& operator=(const server_handler&) = delete;
    virtual ~server_handler() = default;

    /// Handles a request; @p exchange names it in `on_caller_disconnected`.
    virtual void on_request(std::uint64_t exchange, server_request request,
                            std::shared_ptr<responder> answer) = 0;
    /// The caller went away before its answer ended.
    virtual void on_caller_disconnected(std::uint64_t exchange) = 0;
    /// A request was refused by the server itself.
    virtual void on_refused(core::reason why) = 0;
};

/// Accepts callers on one address.
class server {
public:
    server(boost::asio::io_context& context, server_limits limits, server_handler& handler);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Starts listening. Returns false with the reason in @p error.
    bool listen(const std::string& address, std::string& error);
    /// Changes the bounds; a connection takes them up with its next request.
    void set_limits(const server_limits& limits);
    /// Ends each connection with its next answer.
    void close_after_responses();
    /// Stops accepting; open connections go on.
    void stop_accepting();
    [[nodiscard]] std::size_t connections() const;
    /// Returns how many requests were read whose answers have not left entirely.
    [[nodiscard]] std::size_t pending_responses() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace siskindrift::http
