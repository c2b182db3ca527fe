#include "siskindrift/net/mesh.h"

#include <array>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <deque>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "siskindrift/wire/frame.h"

namespace siskindrift::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

std::optional<tcp::endpoint> parse_address(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    std::uint16_t port = 0;
    const auto* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc{} || parsed.ptr != end || port == 0) {
        return std::nullopt;
    }
    return tcp::endpoint{ip, port};
}

void detect_dead_peer(tcp::socket& socket, core::duration unacknowledged)
{
    const auto unacknowledged_timeout_ms = static_cast<int>(core::to_ms(unacknowledged));
    constexpr int probe_after_s = 2;
    constexpr int probe_interval_s = 1;
    constexpr int probe_count = 2;
    const int file = socket.native_handle();
    const int on = 1;
    // Best effort: errors are ignored, as without these options a dead connection is still detected
    // by the deadline of its request.
    ::setsockopt(file, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_timeout_ms, sizeof(int));
    ::setsockopt(file, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(int));
    ::setsockopt(file, IPPROTO_TCP, TCP_KEEPIDLE, &probe_after_s, sizeof(int));
    ::setsockopt(file, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s, sizeof(int));
    ::setsockopt(file, IPPROTO_TCP, TCP_KEEPCNT, &probe_count, sizeof(int));
}

/// One connection. Its members are used on its strand only, except the atomic `m_queued_bytes`.
class mesh_connection : public std::enable_shared_from_this<mesh_connection> {
public:
    mesh_connection(std::shared_ptr<mesh> owner, tcp::socket socket, connection_id id,
                    std::string address)
        : m_owner(std::move(owner)), m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
          m_id(id), m_address(std::move(address))
    {
    }

    /// Opens an outgoing connection.
    void open(const tcp::endpoint& to)
    {
        asio::dispatch(m_socket.get_executor(), [self = shared_from_this(), to] {
            if (!self->m_closed) {
                self->connect(to);
            }
        });
    }

    /// Starts reading and writing on a connected socket.
    void begin()
    {
        asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
            if (!self->m_closed) {
                self->begin_exchange();
            }
        });
    }

    void send(std::shared_ptr<const std::string> frame)
    {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), frame] {
            if (self->m_closed) {
                return;
            }
            self->m_queued_bytes += frame->size();
            if (self->m_queued_bytes > self->m_owner->m_options.max_queued_bytes) {
                self->close();
                return;
            }
            self->m_queue.push_back(frame);
            if (self->m_connected && self->m_queue.size() == 1) {
                self->write_next();
            }
        });
    }

    [[nodiscard]] std::size_t queued_bytes() const { return m_queued_bytes; }

    void close_async()
    {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->close(); });
    }

private:
    void connect(const tcp::endpoint& to)
    {
        m_timer.expires_after(m_owner->m_options.connect_timeout);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error && !self->m_connected) {
                self->close();
            }
        });
        m_socket.async_connect(to, [self = shared_from_this()](error_code error) {
            if (error || self->m_closed) {
                self->close();
                return;
            }
            self->begin_exchange();
            self->m_owner->m_handler.on_connection_state(self->m_address, true);
        });
    }

    void begin_exchange()
    {
        error_code ignored;
        m_socket.set_option(tcp::no_delay{true}, ignored);
        m_connected = true;
        m_last_received = asio::steady_timer::clock_type::now();
        read_header();
        write_next();
        check_heartbeat();
    }

    void read_header()
    {
        asio::async_read(m_socket, asio::buffer(m_header),
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (error) {
                                 self->close();
                                 return;
                             }
                             self->read_payload();
                         });
    }

    void read_payload()
    {
        core::reason why = core::reason::none;
        const auto header = wire::decode_header({m_header.data(), m_header.size()}, why);
        if (!header) {
            m_owner->m_handler.on_bad_frame(why);
            close();
            return;
        }
        m_payload.resize(header->length);
        asio::async_read(m_socket, asio::buffer(m_payload),
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (error) {
                                 self->close();
                                 return;
                             }
                             self->process_payload();
                         });
    }

    void process_payload()
    {
        m_last_received = asio::steady_timer::clock_type::now();
        m_owner->m_received_bytes += m_payload.size() + wire::frame_header_bytes;
        auto message = wire::decode_payload(m_payload);
        if (!message) {
            m_owner->m_handler.on_bad_frame(core::reason::malformed_frame);
            close();
            return;
        }
        if (auto* heartbeat = message->body.Asheartbeat()) {
            if (!heartbeat->echo) {
                wire::heartbeat_t echo;
                echo.echo = true;
                send(std::make_shared<std::string>(wire::encode_frame(wire::make_envelope(echo))));
            }
        }
        else {
            m_owner->m_handler.on_message(m_id, std::move(*message));
        }
        read_header();
    }

    void write_next()
    {
        if (m_queue.empty() || m_closed) {
            return;
        }
        // The completion holds the frame too: the connection may be closed and its
        // queue cleared before a successful write completes.
        const auto frame = m_queue.front();
        asio::async_write(m_socket, asio::buffer(*frame),
                          [self = shared_from_this(), frame](error_code error, std::size_t) {
                              if (self->m_closed) {
                                  return;
                              }
                              if (error) {
                                  self->close();
                                  return;
                              }
                              self->m_owner->m_sent_bytes += frame->size();
                              self->m_queued_bytes -= frame->size();
                              self->m_queue.pop_front();
                              self->write_next();
                          });
    }

    // Runs once per heartbeat interval. The end that opened the connection sends heartbeats and the
    // other echoes them; both close the connection when nothing was received in time.
    void check_heartbeat()
    {
        m_timer.expires_after(m_owner->m_options.heartbeat);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (error || self->m_closed) {
                return;
            }
            const auto silence = asio::steady_timer::clock_type::now() - self->m_last_received;
            if (silence > self->m_owner->m_options.heartbeat_timeout) {
                self->close();
                return;
            }
            if (!self->m_address.empty()) {
                self->send(std::make_shared<std::string>(
                    wire::encode_frame(wire::make_envelope(wire::heartbeat_t{}))));
            }
            self->check_heartbeat();
        });
    }

    void close()
    {
        if (m_closed) {
            return;
        }
        m_closed = true;
        m_timer.cancel();
        error_code ignored;
        m_socket.close(ignored);
        m_queue.clear();
        m_owner->on_connection_closed(m_id, m_address);
    }

    std::shared_ptr<mesh> m_owner;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    connection_id m_id;
    std::string m_address; ///< Empty on an accepted connection.
    std::array<char, wire::frame_header_bytes> m_header{};
    std::string m_payload;
    std::deque<std::shared_ptr<const std::string>> m_queue;
    std::atomic<std::size_t> m_queued_bytes{0};
    core::time_point m_last_received{};
    bool m_connected = false;
    bool m_closed = false;
};

bool mesh::listen(const std::string& address, std::string& error)
{
    const auto endpoint = parse_address(address);
    if (!endpoint) {
        error = "not an IP:port address: " + address;
        return false;
    }
    error_code code;
    m_acceptor = std::make_unique<tcp::acceptor>(m_context);
    m_acceptor->open(endpoint->protocol(), code);
    m_acceptor->set_option(tcp::acceptor::reuse_address{true}, code);
    m_acceptor->bind(*endpoint, code);
    if (!code) {
        m_acceptor->listen(asio::socket_base::max_listen_connections, code);
    }
    if (code) {
        error = address + ": " + code.message();
        return false;
    }
    accept();
    return true;
}

void mesh::accept()
{
    m_acceptor->async_accept(asio::make_strand(m_context),
                             [self = shared_from_this()](error_code error, tcp::socket socket) {
                                 if (error == asio::error::operation_aborted) {
                                     return;
                                 }
                                 if (!error) {
                                     if (auto added = self->add(std::move(socket), {})) {
                                         added->begin();
                                     }
                                 }
                                 self->accept();
                             });
}

std::shared_ptr<mesh_connection> mesh::add(tcp::socket socket, std::string address)
{
    const std::lock_guard lock{m_mutex};
    if (m_stopped) {
        return nullptr;
    }
    const auto id = m_next_id++;
    auto connection =
        std::make_shared<mesh_connection>(shared_from_this(), std::move(socket), id, address);
    m_connections[id] = connection;
    if (!address.empty()) {
        m_by_address[address] = id;
    }
    return connection;
}

std::shared_ptr<mesh_connection> mesh::connection_to(const std::string& address)
{
    {
        const std::lock_guard lock{m_mutex};
        if (const auto known = m_by_address.find(address); known != m_by_address.end()) {
            return m_connections.at(known->second);
        }
    }
    const auto endpoint = parse_address(address);
    if (!endpoint) {
        return nullptr;
    }
    auto connection = add(tcp::socket{asio::make_strand(m_context)}, address);
    if (connection) {
        connection->open(*endpoint);
    }
    return connection;
}

void mesh::send(const std::string& address, const wire::envelope_t& message)
{
    if (auto connection = connection_to(address)) {
        auto frame = std::make_shared<std::string>(wire::encode_frame(message));
        m_handler.on_queued(wire::EnumNamemessage(message.body.type), frame->size());
        connection->send(std::move(frame));
    }
}

void mesh::reply(connection_id to, const wire::envelope_t& message)
{
    std::shared_ptr<mesh_connection> connection;
    {
        const std::lock_guard lock{m_mutex};
        const auto found = m_connections.find(to);
        if (found == m_connections.end()) {
            return;
        }
        connection = found->second;
    }
    auto frame = std::make_shared<std::string>(wire::encode_frame(message));
    m_handler.on_queued(wire::EnumNamemessage(message.body.type), frame->size());
    connection->send(std::move(frame));
}

void mesh::reply_all(const std::vector<connection_id>& to, const wire::envelope_t& message)
{
    const auto frame = std::make_shared<std::string>(wire::encode_frame(message));
    std::vector<std::shared_ptr<mesh_connection>> connections;
    {
        const std::lock_guard lock{m_mutex};
        for (const auto id : to) {
            if (const auto found = m_connections.find(id); found != m_connections.end()) {
                connections.push_back(found->second);
            }
        }
    }
    m_handler.on_queued(wire::EnumNamemessage(message.body.type),
                        frame->size() * connections.size());
    for (const auto& connection : connections) {
        connection->send(frame);
    }
}

std::size_t mesh::queued_bytes(connection_id to)
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_connections.find(to);
    return found == m_connections.end() ? 0 : found->second->queued_bytes();
}

void mesh::keep_connected(const std::string& address)
{
    {
        const std::lock_guard lock{m_mutex};
        if (!m_kept_connected.emplace(address, true).second) {
            return;
        }
    }
    connection_to(address);
}

void mesh::release(const std::string& address)
{
    const std::lock_guard lock{m_mutex};
    m_kept_connected.erase(address);
}

void mesh::disconnect(const std::string& address)
{
    connection_id open = 0;
    {
        const std::lock_guard lock{m_mutex};
        m_kept_connected.erase(address);
        const auto known = m_by_address.find(address);
        open = known == m_by_address.end() ? 0 : known->second;
    }
    close(open);
}

void mesh::on_connection_closed(connection_id id, const std::string& address)
{
    bool keep_open = false;
    {
        const std::lock_guard lock{m_mutex};
        m_connections.erase(id);
        const auto known = m_by_address.find(address);
        if (known != m_by_address.end() && known->second == id) {
            m_by_address.erase(known);
        }
        keep_open = !m_stopped && m_kept_connected.contains(address);
    }
    if (!address.empty()) {
        m_handler.on_connection_state(address, false);
    }
    else {
        m_handler.on_closed(id);
    }
    if (keep_open) {
        reconnect_later(address);
    }
}

void mesh::reconnect_later(const std::string& address)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, m_options.reconnect_delay);
    timer->async_wait([self = shared_from_this(), timer, address](error_code) {
        bool keep_open = false;
        {
            const std::lock_guard lock{self->m_mutex};
            keep_open = !self->m_stopped && self->m_kept_connected.contains(address);
        }
        if (keep_open) {
            self->connection_to(address);
        }
    });
}

void mesh::close(connection_id which)
{
    std::shared_ptr<mesh_connection> connection;
    {
        const std::lock_guard lock{m_mutex};
        const auto found = m_connections.find(which);
        if (found == m_connections.end()) {
            return;
        }
        connection = found->second;
    }
    connection->close_async();
}

void mesh::stop()
{
    std::map<connection_id, std::shared_ptr<mesh_connection>> connections;
    {
        const std::lock_guard lock{m_mutex};
        m_stopped = true;
        connections = m_connections;
        if (m_acceptor) {
            error_code ignored;
            m_acceptor->close(ignored);
        }
    }
    for (const auto& [id, connection] : connections) {
        connection->close_async();
    }
}

} // namespace siskindrift::net
