// HTTP/1.1 server: reads requests completely; sends complete or chunked responses.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/connection_ledger.h"
#include "siskindrift/core/memory_ledger.h"
#include "siskindrift/core/verdict.h"

namespace siskindrift::http {

/// Header names and values, in the order in which they are sent.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// A request that was received completely.
struct server_request {
    std::string method;
    std::string target;
    std::string body;
    std::string remote_address;
    header_list headers;

    /// Returns the value of a header, ignoring the case of its name, or an empty string.
    [[nodiscard]] std::string header(const std::string& name) const;
};

/// Sends the response to one request. Thread-safe; calls after the end of the response or after
/// the caller disconnected have no effect.
class responder {
public:
    responder() = default;
    responder(const responder&) = delete;
    responder& operator=(const responder&) = delete;
    virtual ~responder() = default;

    /// Sends a complete response; `Content-Length` is added.
    virtual void respond(std::uint16_t status, header_list headers, std::string body) = 0;
    /// Sends the status and headers of a response whose length is not known yet. It is chunked;
    /// for an HTTP/1.0 caller it lasts until the connection closes.
    virtual void begin(std::uint16_t status, header_list headers) = 0;
    /// Sends a part of such a response; empty data is ignored, because an empty chunk would end it.
    virtual void write_chunk(std::string data) = 0;
    /// Ends such a response as complete.
    virtual void end() = 0;
    /// Closes the connection at once, so that the caller can't mistake a partial response for a
    /// complete one.
    virtual void abort() = 0;
    /// Like `abort`, but sends what was written before.
    virtual void break_off() = 0;
    /// Returns how many bytes of the response are not yet written to the socket.
    [[nodiscard]] virtual std::size_t backlog() const = 0;
};

/// Limits that protect the server from misbehaving callers.
struct server_limits {
    std::size_t max_connections = 20'000; ///< Further connections are closed at once.
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// Limit for the first request header of a connection.
    core::duration header_timeout = core::milliseconds{10'000};
    /// Limit for a request body.
    core::duration body_timeout = core::milliseconds{30'000};
    /// Limit for the header of each further request on a connection.
    core::duration idle_timeout = core::milliseconds{75'000};
    /// Limit for one write, against callers that stop reading.
    core::duration write_timeout = core::milliseconds{30'000};
    /// The connection is closed when more than this and `max_body_bytes` together are unwritten.
    std::size_t max_backlog_bytes = 1024 * 1024;
};

/// What a server shares with the rest of its process. Null: it isn't counted, and has no limit.
struct server_resources {
    /// Counts received requests until they are answered, and responses until they are read.
    core::memory_ledger* memory = nullptr;
    core::connection_ledger* connections = nullptr;
    core::connection_kind kind = core::connection_kind::external;
};

/// Receives requests. Called from any thread of the `io_context`.
class server_handler {
public:
    server_handler() = default;
    server_handler(const server_handler&) = delete;
    server_handler& operator=(const server_handler&) = delete;
    virtual ~server_handler() = default;

    /// Handles a request.
    /// @param exchange identifies the request in `on_caller_disconnected`.
    /// @param response sends the response; may be kept and used later.
    virtual void on_request(std::uint64_t exchange, server_request request,
                            std::shared_ptr<responder> response) = 0;
    /// The connection closed before the response was sent completely.
    virtual void on_caller_disconnected(std::uint64_t exchange) = 0;
    /// The server rejected a request or a connection without passing it to `on_request`, or closed
    /// the connection of a caller that reads too slowly.
    virtual void on_refused(core::reason why) = 0;
};

/// Accepts connections on one address. The context and the handler must outlive it.
class server {
public:
    /// @param resources must outlive the context.
    server(boost::asio::io_context& context, server_limits limits, server_handler& handler,
           server_resources resources = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Starts listening on "IP:port". Returns false on failure, with the reason in @p error.
    bool listen(const std::string& address, std::string& error);
    /// Changes the limits; open connections apply them from their next request on.
    void set_limits(const server_limits& limits);
    /// Closes each connection after its next response.
    void close_after_responses();
    /// Stops accepting connections; open connections are served further.
    void stop_accepting();
    /// Returns the number of open connections.
    [[nodiscard]] std::size_t connections() const;
    /// Returns how many requests were received whose responses are not yet written completely.
    [[nodiscard]] std::size_t pending_responses() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace siskindrift::http
