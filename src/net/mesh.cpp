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

namespace {

// A frame is read, and its memory taken, in parts of this size at most.
constexpr std::size_t max_read_bytes = 64UL * 1024;
// A connection gives back a larger buffer after each message.
constexpr std::size_t max_kept_capacity = 64UL * 1024;
// What a connection takes beside its messages, and a queued message beside its frame.
constexpr std::size_t connection_bytes = 2048;
constexpr std::size_t queue_entry_bytes = 128;
// Until connections are accepted again after a failure, such as a lack of descriptors.
constexpr core::milliseconds accept_retry_interval{100};
// Limit for what the kernel keeps of an accepted connection that isn't read; it doubles the value.
constexpr int receive_buffer_bytes = 256 * 1024;

} // namespace

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
class mesh_connection final : public core::memory_holder,
                              public core::connection_holder,
                              public std::enable_shared_from_this<mesh_connection> {
public:
    mesh_connection(std::shared_ptr<mesh> owner, tcp::socket socket, connection_id id,
                    std::string address)
        : m_owner(std::move(owner)), m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
          m_id(id), m_address(std::move(address))
    {
        const auto& options = m_owner->m_options;
        if (options.memory != nullptr) {
            m_incoming.emplace(*options.memory, *this);
            m_outgoing.emplace(*options.memory, *this);
        }
        if (options.connections != nullptr) {
            m_slot.emplace(*options.connections, m_address.empty() ? this : nullptr);
        }
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

    /// @param copies number of connections that share the frame.
    void send(std::shared_ptr<const std::string> frame, std::size_t copies = 1)
    {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), frame, copies] {
            if (self->m_closed) {
                return;
            }
            self->m_queued_bytes += frame->size();
            if (self->m_queued_bytes > self->m_owner->m_options.max_queued_bytes) {
                self->close();
                return;
            }
            self->m_queue.push_back({frame, frame->size() / copies + queue_entry_bytes});
            self->m_outgoing_bytes += self->m_queue.back().counted_bytes;
            self->update_outgoing();
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

    void release_memory() override { refuse_later(core::reason::memory_limit); }
    void close_waiting() override { refuse_later(core::reason::connection_limit); }

private:
    struct queued_frame {
        std::shared_ptr<const std::string> bytes;
        std::size_t counted_bytes; ///< In the ledger; the bytes may be shared with others.
    };

    void refuse_later(core::reason why)
    {
        if (auto self = weak_from_this().lock()) {
            asio::post(m_socket.get_executor(),
                       [self = std::move(self), why] { self->refuse(why); });
        }
    }

    void refuse(core::reason why)
    {
        if (!m_closed) {
            m_owner->m_handler.on_connection_refused(why);
            close();
        }
    }

    void update_outgoing()
    {
        if (m_outgoing) {
            m_outgoing->set(m_closed ? 0 : m_outgoing_bytes);
        }
    }

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
        if (m_slot) {
            m_slot->begin_waiting();
        }
        m_last_received = asio::steady_timer::clock_type::now();
        read_header();
        write_next();
        check_heartbeat();
    }

    void read_header()
    {
        if (m_payload.capacity() > max_kept_capacity) {
            std::string{}.swap(m_payload);
        }
        if (m_incoming) {
            m_incoming->set(connection_bytes + m_payload.capacity(), core::memory_use::awaited);
        }
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
        m_payload.clear();
        m_payload_bytes = header->length;
        read_part();
    }

    // Reads a frame in parts, since its header may announce more than ever comes.
    void read_part()
    {
        const auto received = m_payload.size();
        const auto next = std::min(m_payload_bytes - received, max_read_bytes);
        if (received + next > m_payload.capacity()) {
            const auto capacity =
                std::min(std::max(2 * m_payload.capacity(), received + next), m_payload_bytes);
            if (m_incoming && !m_incoming->reserve(connection_bytes + capacity,
                                                   core::memory_use::receiving, received)) {
                refuse(core::reason::memory_limit);
                return;
            }
            m_payload.reserve(capacity);
        }
        else if (received > 0 && m_incoming &&
                 !m_incoming->reserve(connection_bytes + m_payload.capacity(),
                                      core::memory_use::receiving, received)) {
            refuse(core::reason::memory_limit);
            return;
        }
        m_payload.resize(received + next);
        asio::async_read(m_socket, asio::buffer(m_payload.data() + received, next),
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (error) {
                                 self->close();
                                 return;
                             }
                             if (self->m_payload.size() < self->m_payload_bytes) {
                                 self->read_part();
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
            if (m_slot) {
                m_slot->end_waiting();
            }
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
        const auto frame = m_queue.front().bytes;
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
                              self->m_outgoing_bytes -= self->m_queue.front().counted_bytes;
                              self->m_queue.pop_front();
                              self->update_outgoing();
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
        update_outgoing();
        if (m_incoming) {
            m_incoming->set(0);
        }
        m_slot.reset();
        m_owner->on_connection_closed(m_id, m_address);
    }

    std::shared_ptr<mesh> m_owner;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    connection_id m_id;
    std::string m_address; ///< Empty on an accepted connection.
    std::array<char, wire::frame_header_bytes> m_header{};
    std::string m_payload;
    std::size_t m_payload_bytes = 0; ///< That the header announces.
    std::deque<queued_frame> m_queue;
    std::size_t m_outgoing_bytes = 0;               ///< Of `m_queue`, as counted in the ledger.
    std::optional<core::memory_account> m_incoming; ///< Of `m_payload`.
    std::optional<core::memory_account> m_outgoing; ///< Of `m_queue`.
    std::optional<core::connection_slot> m_slot;
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
    // Connections inherit it. Without it, their receive buffers grow by themselves.
    m_acceptor->set_option(asio::socket_base::receive_buffer_size{receive_buffer_bytes}, code);
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
    m_acceptor->async_accept(
        asio::make_strand(m_context),
        [self = shared_from_this()](error_code error, tcp::socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                self->m_handler.on_connection_refused(core::reason::connection_limit);
                self->accept_later();
                return;
            }
            auto* connections = self->m_options.connections;
            if (connections != nullptr && !connections->admit(core::connection_kind::internal)) {
                self->m_handler.on_connection_refused(core::reason::connection_limit);
            }
            else if (auto added = self->add(std::move(socket), {})) {
                added->begin();
            }
            self->accept();
        });
}

// An accept that fails for want of a descriptor would fail again at once.
void mesh::accept_later()
{
    m_accept_timer.expires_after(accept_retry_interval);
    m_accept_timer.async_wait([self = shared_from_this()](error_code) {
        const std::lock_guard lock{self->m_mutex};
        if (!self->m_stopped) {
            self->accept();
        }
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
        connection->send(frame, connections.size());
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
