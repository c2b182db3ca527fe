// Connections between the system's own processes: framed TCP with heartbeats.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/connection_ledger.h"
#include "siskindrift/core/memory_ledger.h"
#include "siskindrift/core/verdict.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::net {

/// Parses "IP:port". Host names are not resolved; returns none for them and for port 0.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint>
parse_address(const std::string& address);

/// Makes the kernel close a connection whose peer is gone or whose state a device on the path has
/// dropped, by TCP_USER_TIMEOUT and keep-alive probes.
/// @param unacknowledged how long sent bytes may stay unacknowledged.
void detect_dead_peer(boost::asio::ip::tcp::socket& socket,
                      core::duration unacknowledged = core::milliseconds{2000});

/// Timeouts and limits of the connections.
struct mesh_options {
    /// Interval between heartbeats, and between checks of `heartbeat_timeout`.
    core::duration heartbeat = core::milliseconds{400};
    /// A connection that received nothing for longer is closed: three heartbeats and a margin.
    core::duration heartbeat_timeout = core::milliseconds{1300};
    /// Several round trips. A peer that starts a moment later is found by the next attempt.
    core::duration connect_timeout = core::milliseconds{300};
    /// Delay before a connection that is kept open is opened again.
    core::duration reconnect_delay = core::milliseconds{150};
    /// A connection with more unsent bytes is closed.
    std::size_t max_queued_bytes = 64 * 1024 * 1024;
    /// Counts messages that are being received, and replies until they are written. It must outlive
    /// the context; null: they aren't counted.
    core::memory_ledger* memory = nullptr;
    /// Counts connections of both directions. It must outlive the context; null: not counted.
    core::connection_ledger* connections = nullptr;
};

/// Identifies an accepted or opened connection of this process.
using connection_id = std::uint64_t;

/// Receives messages and connection events. Called from any thread of the `io_context`.
class mesh_handler {
public:
    mesh_handler() = default;
    mesh_handler(const mesh_handler&) = delete;
    mesh_handler& operator=(const mesh_handler&) = delete;
    virtual ~mesh_handler() = default;

    /// A message other than a heartbeat was received.
    virtual void on_message(connection_id from, wire::envelope_t message) = 0;
    /// A connection that this process opened to @p address was established, was closed or could
    /// not be established.
    virtual void on_connection_state(const std::string& address, bool up) = 0;
    /// An accepted connection was closed.
    virtual void on_closed(connection_id) {}
    /// A connection sent an invalid frame; it is closed.
    virtual void on_bad_frame(core::reason why) = 0;
    /// A connection is closed, or was not accepted, because the process has too many bytes or
    /// connections.
    virtual void on_connection_refused(core::reason why) = 0;
    /// Messages were queued to be sent.
    /// @param kind name of the message's type.
    /// @param bytes of all its copies.
    virtual void on_queued(std::string_view /*kind*/, std::size_t /*bytes*/) {}
};

class mesh_connection;

/// All connections of one process to the system's other processes. Thread-safe.
///
/// Lock order: `m_mutex` is taken last and is never held during a handler call.
class mesh : public std::enable_shared_from_this<mesh> {
public:
    mesh(boost::asio::io_context& context, mesh_options options, mesh_handler& handler)
        : m_context(context), m_options(options), m_handler(handler), m_accept_timer(context)
    {
    }

    /// Accepts connections on @p address. Returns false when it is invalid or can't be bound, with
    /// the reason in @p error.
    bool listen(const std::string& address, std::string& error);

    /// Sends over the connection to @p address, opening it when there is none. Messages that are
    /// still queued when the connection closes are lost.
    void send(const std::string& address, const wire::envelope_t& message);

    /// Sends over an existing connection; has no effect when it is closed.
    void reply(connection_id to, const wire::envelope_t& message);

    /// Sends one message over several existing connections; it is encoded once.
    void reply_all(const std::vector<connection_id>& to, const wire::envelope_t& message);

    /// Keeps a connection to @p address open, reopening it when it closes, so that
    /// `on_connection_state` always reports whether the address is reachable.
    void keep_connected(const std::string& address);
    /// Stops reopening the connection; an open one stays open.
    void release(const std::string& address);

    /// Stops reopening the connection and closes it.
    void disconnect(const std::string& address);

    /// Returns how many bytes wait to be written to @p to; 0 when it is closed.
    [[nodiscard]] std::size_t queued_bytes(connection_id to);

    /// Closes one connection.
    void close(connection_id which);

    /// Closes all connections and stops accepting.
    void stop();

    /// Returns the bytes of all frames sent, headers included.
    [[nodiscard]] std::uint64_t sent_bytes() const { return m_sent_bytes; }
    /// Returns the bytes of all frames received, headers included.
    [[nodiscard]] std::uint64_t received_bytes() const { return m_received_bytes; }

private:
    friend class mesh_connection;

    void accept();
    void accept_later();
    std::shared_ptr<mesh_connection> connection_to(const std::string& address);
    std::shared_ptr<mesh_connection> add(boost::asio::ip::tcp::socket socket, std::string address);
    void on_connection_closed(connection_id id, const std::string& address);
    void reconnect_later(const std::string& address);

    boost::asio::io_context& m_context;
    mesh_options m_options;
    mesh_handler& m_handler;
    std::mutex m_mutex;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    boost::asio::steady_timer m_accept_timer;
    std::map<connection_id, std::shared_ptr<mesh_connection>> m_connections;
    std::map<std::string, connection_id> m_by_address;
    std::map<std::string, bool> m_kept_connected;
    connection_id m_next_id = 1;
    bool m_stopped = false;
    std::atomic<std::uint64_t> m_sent_bytes{0};
    std::atomic<std::uint64_t> m_received_bytes{0};
};

} // namespace siskindrift::net
