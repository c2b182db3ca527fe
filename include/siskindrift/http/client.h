// HTTP/1.1 client with a pool of idle connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/connection_ledger.h"
#include "siskindrift/http/server.h"

namespace siskindrift::http {

/// Result of a call.
enum class call_result : std::uint8_t {
    complete,        ///< The response was received completely, as its framing defines.
    not_sent,        ///< No connection was established; no byte of the request was sent.
    connection_lost, ///< The connection failed after it was established.
    timed_out,       ///< A timeout expired after the connection was established.
};

/// How a response marks the end of its body.
enum class body_framing : std::uint8_t {
    none,        ///< No head was received, or the status allows no body.
    length,      ///< `Content-Length`.
    chunked,     ///< `Transfer-Encoding: chunked`.
    until_close, ///< Neither: the body lasts until the connection closes.
};

/// Returns the name of @p framing for logs.
[[nodiscard]] std::string_view to_string(body_framing framing);

/// The end of a call.
struct call_end {
    call_result result = call_result::not_sent;
    body_framing framing = body_framing::none;
    std::string error;     ///< Why the call failed; empty if it is complete.
    bool answered = false; ///< The server has sent a byte, also one of an interim response.
    bool refused = false;  ///< Nobody listens at the address.
};

/// Status and headers of a response.
struct client_head {
    std::uint16_t status = 0;
    header_list headers;
    bool reused_connection = false; ///< The connection had served another call before.

    /// Returns the value of a header, ignoring the case of its name, or an empty string.
    [[nodiscard]] std::string header(const std::string& name) const;
};

/// One request and its timeouts.
struct client_call {
    std::uint64_t id = 0; ///< Unique among the open calls; passed to the handler.
    std::string address;  ///< IP:port.
    std::string method = "POST";
    std::string path;
    std::string body;
    /// Sent instead of `body` if it is set, so that several calls share one body.
    std::shared_ptr<const std::string> shared_body;
    header_list headers;
    /// The request may be repeated, so any idle connection may be used although the server may
    /// already have closed it.
    bool repeatable = false;
    /// Use no connection that was open before. The server has had the request already, and a late
    /// copy of its answer on an old connection would pass for the answer to this call.
    bool new_connection = false;
    /// A call that isn't repeatable reuses only connections that were idle for less than this;
    /// zero always opens a new one.
    core::duration max_idle_time{};
    /// Responses whose header of this name differs from `match_value` belong to another request
    /// and are skipped; empty disables the check.
    std::string match_header;
    std::string match_value;
    /// Also take responses without that header: not every server repeats it.
    bool match_if_present = false;
    /// Limit for establishing the connection.
    core::duration connect_timeout = core::milliseconds{1000};
    /// Limit for sending the request and receiving the head of the response.
    core::duration head_timeout = core::milliseconds{5000};
    /// Limit for each read of the response body.
    core::duration progress_timeout = core::milliseconds{5000};
    /// Limit for the whole call once it is connected; zero for none.
    core::duration total_timeout{};
    /// Limit on the size of the head of a response.
    std::size_t max_header_bytes = 16UL * 1024;
    /// Limit on the size of the response body.
    std::size_t max_body_bytes = 64UL * 1024 * 1024;
};

/// Receives the parts of responses, in order for each call. Called from any thread of the
/// `io_context`.
class client_handler {
public:
    client_handler() = default;
    client_handler(const client_handler&) = delete;
    client_handler& operator=(const client_handler&) = delete;
    virtual ~client_handler() = default;

    /// The status and headers of the response were received.
    virtual void on_head(std::uint64_t call, const client_head& head) = 0;
    /// A part of the response body was received.
    virtual void on_data(std::uint64_t call, const std::string& bytes) = 0;
    /// The call ended. Always the last callback of a call, unless it was cancelled.
    virtual void on_end(std::uint64_t call, const call_end& end) = 0;
};

/// Sends HTTP requests over pooled connections. Thread-safe.
class client {
public:
    /// @param context must outlive this object.
    /// @param handler must outlive this object.
    /// @param source_ip IP from which connections are opened, or empty: the system chooses it.
    /// @param connections limits the open connections; must outlive the context; null: no limit.
    client(boost::asio::io_context& context, client_handler& handler,
           const std::string& source_ip = {}, core::connection_ledger* connections = nullptr);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Starts a call; its result arrives at the handler.
    void start(client_call call);
    /// Opens a connection to @p address to see whether that is possible. It is kept for a call.
    /// @param done called with the result.
    void probe(const std::string& address, core::duration timeout, std::function<void(bool)> done);
    /// Closes the idle connections to @p address.
    void close_idle_connections(const std::string& address);
    /// Closes the connection of a call. No `on_end` follows, unless the call was already ending.
    void cancel(std::uint64_t call);
    /// Returns how many calls have not ended.
    [[nodiscard]] std::size_t open_calls() const;

    /// @internal
    class implementation;

private:
    std::shared_ptr<implementation> m_implementation;
};

} // namespace siskindrift::http
