// Connections of the inner protocol: framed TCP with heartbeats.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "siskindrift/core/clock.h"
#include "siskindrift/core/verdict.h"
#include "siskindrift/wire/messages.h"

namespace siskindrift::net {

/// Parses "IP:port"; names are not resolved.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint>
parse_address(const std::string& address);

/// Makes the kernel end a connection whose other end is gone or was forgotten on the way.
/// @param unacknowledged how long sent bytes may stay unacknowledged.
void detect_dead_peer(boost::asio::ip::tcp::socket& socket,
                      core::duration unacknowledged = core::milliseconds{2000});

/// Durations and bounds of inner connections.
struct mesh_options {
    core::duration heartbeat = core::milliseconds{400};
    core::duration heartbeat_timeout = core::milliseconds{1300}; // three heartbeats and a pause
    core::duration connect_timeout = core::milliseconds{1000};
    core::duration reconnect_delay = core::milliseconds{150};
    std::size_t max_queued_bytes = 64 * 1024 * 1024;
};

/// Names an accepted or opened connection of this process.
using connection_id = std::uint64_t;

/// Receives what the mesh reads. Called from any worker.
class mesh_handler {
public:
    mesh_handler() = default;
    mesh_handler(const mesh_handler&) = delete;
    mesh_handler& operator=(const mesh_handler&) = delete;
    virtual ~mesh_handler() = default;

    virtual void on_message(connection_id from, wire::envelope_t message) = 0;
    /// Reports that an address that we connect to became reachable or silent.
    virtual void on_link(const std::string& address, bool up) = 0;
    /// An accepted connection ended.
    virtual void on_closed(connection_id) {}
    virtual void on_bad_frame(core::reason why) = 0;
};

class mesh_connection;

/// All inner connections of one process. Thread-safe.
///
/// Lock order: the mesh's own lock is taken last and is never held during a handler call.
class mesh : public std::enable_shared_from_this<mesh> {
public:
    mesh(boost::asio::io_context& context, mesh_options options, mesh_handler& handler)
        : m_context(context), m_options(options), m_handler(handler)
    {
    }

    /// Accepts connections on @p address. Returns false when it can't be bound.
    bool listen(const std::string& address, std::string& error);

    /// Sends over the connection to @p address, opening it when there is none.
    /// What is queued on a connection that breaks is lost.
    void send(const std::string& address, const wire::envelope_t& message);

    /// Sends over an existing connection; nothing happens when it is gone.
    void reply(connection_id to, const wire::envelope_t& message);

    /// Sends one message over several existing connections; it is encoded once.
    void reply_all(const std::vector<connection_id>& to, const wire::envelope_t& message);

    /// Keeps a connection to @p address open, so that its state is known.
    void keep_connected(const std::string& address);
    /// Stops keeping the connection.
    void release(const std::string& address);

    /// Returns how many bytes wait to be written to @p to; 0 when it is gone.
    [[nodiscard]] std::size_t queued_bytes(connection_id to);

    /// Closes one connection.
    void close(connection_id which);

    /// Closes everything.
    void stop();

    [[nodiscard]] std::uint64_t sent_bytes() const { return m_sent_bytes; }
    [[nodiscard]] std::uint64_t received_bytes() const { return m_received_bytes; }

private:
    friend class mesh_connection;

    void accept();
    std::shared_ptr<mesh_connection> connection_to(const std::string& address);
    std::shared_ptr<mesh_connection> add(boost::asio::ip::tcp::socket socket, std::string address);
    void closed(connection_id id, const std::string& address);
    void retry(const std::string& address);

    boost::asio::io_context& m_context;
    mesh_options m_options;
    mesh_handler& m_handler;
    std::mutex m_mutex;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::map<connection_id, std::shared_ptr<mesh_connection>> m_connections;
    std::map<std::string, connection_id> m_by_address;
    std::map<std::string, bool> m_kept;
    connection_id m_next_id = 1;
    bool m_stopped = false;
    std::atomic<std::uint64_t> m_sent_bytes{0};
    std::atomic<std::uint64_t> m_received_bytes{0};
};

} // namespace siskindrift::net
