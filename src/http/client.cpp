#include "siskindrift/http/client.h"

#include <algorithm>
#include <array>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <linux/sockios.h>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <vector>

#include "message_parser.h"
#include "siskindrift/net/mesh.h"

namespace siskindrift::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using beast::error_code;

namespace {

constexpr std::size_t max_idle_per_address = 64;
constexpr std::size_t read_buffer_bytes = 16 * 1024;
constexpr auto max_idle_lifetime = std::chrono::seconds{10};
// A request may be in flight while the server closes the idle connection.
constexpr auto idle_margin = std::chrono::milliseconds{300};
// Room for the framing of a body that is not parsed yet: chunk headers and trailers.
constexpr std::size_t max_unparsed_bytes = 64UL * 1024;
// From the first byte of a head to its last.
constexpr core::milliseconds max_head_duration{1000};
// A sound server may be silent for a second or so. The kernel sends unacknowledged bytes again
// after 0.2, 0.6, 1.4 and 3 s.
constexpr core::milliseconds unacknowledged_timeout{4000};
// One or two late responses of earlier requests are tolerated; with more, the server is considered
// faulty.
constexpr int max_mismatched_responses = 2;
constexpr unsigned first_final_status = 200; // lower ones are interim responses
constexpr unsigned switching_protocols = 101;

// Returns the idle timeout that the server states in a Keep-Alive header, less a margin and at most
// `max_idle_lifetime`.
core::duration stated_idle_lifetime(std::string_view keep_alive)
{
    constexpr std::string_view parameter = "timeout=";
    const auto at = keep_alive.find(parameter);
    if (at == std::string_view::npos) {
        return max_idle_lifetime;
    }
    std::uint32_t seconds = 0;
    const auto* begin = keep_alive.data() + at + parameter.size();
    std::from_chars(begin, keep_alive.data() + keep_alive.size(), seconds);
    const core::duration stated = std::chrono::seconds{seconds};
    return std::min<core::duration>(stated - std::min<core::duration>(stated, idle_margin),
                                    max_idle_lifetime);
}

} // namespace

std::string client_head::header(const std::string& name) const
{
    for (const auto& [key, value] : headers) {
        if (beast::iequals(key, name)) {
            return value;
        }
    }
    return {};
}

std::string_view to_string(body_framing framing)
{
    switch (framing) {
    case body_framing::none:
        break;
    case body_framing::length:
        return "length";
    case body_framing::chunked:
        return "chunked";
    case body_framing::until_close:
        return "until_close";
    }
    return "none";
}

class client_exchange;

namespace {

/// A connection with its place among those of the process.
class counted_stream : public beast::tcp_stream {
public:
    using beast::tcp_stream::tcp_stream;
    explicit counted_stream(beast::tcp_stream&& other) : beast::tcp_stream(std::move(other)) {}

    /// Takes a place. Returns false if the process has too many connections.
    [[nodiscard]] bool take_slot(core::connection_ledger* connections)
    {
        if (connections == nullptr) {
            return true;
        }
        if (!connections->admit(core::connection_kind::internal)) {
            return false;
        }
        m_slot.emplace(*connections, nullptr);
        return true;
    }

private:
    std::optional<core::connection_slot> m_slot;
};

} // namespace

class client::implementation : public std::enable_shared_from_this<client::implementation> {
public:
    implementation(asio::io_context& context, client_handler& handler, const std::string& source_ip,
                   core::connection_ledger* connections)
        : m_context(context), m_handler(handler), m_connections(connections)
    {
        if (!source_ip.empty()) {
            m_source = tcp::endpoint{asio::ip::make_address(source_ip), 0};
        }
    }

    // Prepares a socket to connect from the configured address.
    void bind_source(tcp::socket& socket, error_code& error) const
    {
        if (!m_source) {
            return;
        }
        socket.open(m_source->protocol(), error);
        const int on = 1;
        // The port is chosen when the connection is opened; without it there are fewer ports.
        ::setsockopt(socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
        socket.bind(*m_source, error);
    }

    void start(client_call call);
    void cancel(std::uint64_t call);
    void probe(const std::string& address, core::duration timeout, std::function<void(bool)> done);

    [[nodiscard]] std::size_t open_calls() const
    {
        const std::lock_guard lock{m_mutex};
        return m_open.size();
    }

    void forget(std::uint64_t call)
    {
        const std::lock_guard lock{m_mutex};
        m_open.erase(call);
    }

    // Removes an open connection that was idle for less than @p longest from the pool; null when
    // there is none.
    std::unique_ptr<counted_stream> take_idle(const std::string& address, core::duration longest)
    {
        const std::lock_guard lock{m_mutex};
        auto& idle = m_idle[address];
        const auto now = asio::steady_timer::clock_type::now();
        while (!idle.empty()) {
            auto last = std::move(idle.back());
            idle.pop_back();
            if (now - last.since < std::min(longest, last.lifetime) && still_open(*last.stream)) {
                return std::move(last.stream);
            }
        }
        return nullptr;
    }

    void return_idle(const std::string& address, std::unique_ptr<counted_stream> stream,
                     core::duration lifetime)
    {
        const std::lock_guard lock{m_mutex};
        auto& idle = m_idle[address];
        if (idle.size() < max_idle_per_address) {
            idle.push_back({std::move(stream), asio::steady_timer::clock_type::now(), lifetime});
        }
    }

    // Closes all idle connections to an address. After a timeout on one connection the others are
    // probably dead as well.
    void close_idle(const std::string& address)
    {
        const std::lock_guard lock{m_mutex};
        m_idle.erase(address);
    }

    [[nodiscard]] client_handler& handler() { return m_handler; }
    [[nodiscard]] asio::io_context& context() { return m_context; }
    [[nodiscard]] core::connection_ledger* connections() { return m_connections; }

private:
    struct idle_stream {
        std::unique_ptr<counted_stream> stream;
        core::time_point since;
        core::duration lifetime;
    };

    // A readable idle connection was closed by the server or holds unexpected data.
    static bool still_open(beast::tcp_stream& stream)
    {
        char byte = 0;
        const auto got = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got < 0 && errno == EAGAIN;
    }

    asio::io_context& m_context;
    client_handler& m_handler;
    core::connection_ledger* m_connections;
    std::optional<tcp::endpoint> m_source;
    mutable std::mutex m_mutex;
    std::map<std::uint64_t, std::weak_ptr<client_exchange>> m_open;
    std::map<std::string, std::vector<idle_stream>> m_idle;
};

/// One call. Runs on the strand of its connection.
class client_exchange final : public std::enable_shared_from_this<client_exchange> {
public:
    client_exchange(std::shared_ptr<client::implementation> owner, client_call call)
        : m_owner(std::move(owner)), m_call(std::move(call))
    {
    }

    // Selects the connection. Called before the exchange is shared with other threads.
    void prepare()
    {
        const bool may_reuse = m_call.repeatable || m_call.max_idle_time > core::duration::zero();
        if (may_reuse && !m_call.new_connection) {
            m_stream = m_owner->take_idle(m_call.address, m_call.repeatable ? max_idle_lifetime
                                                                            : m_call.max_idle_time);
        }
        m_reused = m_stream != nullptr;
        if (!m_reused) {
            m_stream = std::make_unique<counted_stream>(asio::make_strand(m_owner->context()));
        }
        m_executor = m_stream->get_executor();
    }

    void begin()
    {
        asio::post(m_executor, [self = shared_from_this()] { self->open(); });
    }

    void cancel()
    {
        asio::post(m_executor, [self = shared_from_this()] {
            self->m_cancelled = true;
            if (self->m_stream) {
                self->close_connection();
            }
        });
    }

private:
    // Closes the connection. What the peer hasn't acknowledged is dropped, so that the kernel
    // doesn't deliver a request later that nobody waits for any more.
    void close_connection()
    {
        int unacknowledged = 0;
        auto& socket = m_stream->socket();
        if (socket.is_open() && ::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0 &&
            unacknowledged > 0) {
            error_code ignored;
            socket.set_option(tcp::socket::linger{true, 0}, ignored);
        }
        m_stream->close();
    }

    void open()
    {
        if (m_reused) {
            send();
            return;
        }
        const auto endpoint = net::parse_address(m_call.address);
        if (!endpoint) {
            end(call_result::not_sent, "not an IP:port address: " + m_call.address);
            return;
        }
        if (!m_stream->take_slot(m_owner->connections())) {
            end(call_result::not_sent, "the process has too many connections");
            return;
        }
        error_code bind_error;
        m_owner->bind_source(m_stream->socket(), bind_error);
        if (bind_error) {
            end(call_result::not_sent, "source address: " + bind_error.message());
            return;
        }
        m_stream->expires_after(m_call.connect_timeout);
        m_stream->async_connect(*endpoint, [self = shared_from_this()](error_code error) {
            if (error) {
                self->m_refused = error == asio::error::connection_refused;
                self->end(call_result::not_sent, error.message());
                return;
            }
            error_code ignored;
            self->m_stream->socket().set_option(tcp::no_delay{true}, ignored);
            net::detect_dead_peer(self->m_stream->socket(), unacknowledged_timeout);
            self->send();
        });
    }

    void send()
    {
        if (m_cancelled) {
            end(call_result::not_sent, "cancelled");
            return;
        }
        if (!m_call.shared_body) {
            m_call.shared_body = std::make_shared<const std::string>(std::move(m_call.body));
        }
        m_request_head = render_request_head();
        const auto now = clock::now();
        m_call_deadline = m_call.total_timeout > core::duration::zero() ? now + m_call.total_timeout
                                                                        : clock::time_point::max();
        m_head_deadline = std::min(now + m_call.head_timeout, m_call_deadline);
        const std::array<asio::const_buffer, 2> request{asio::buffer(m_request_head),
                                                        asio::buffer(*m_call.shared_body)};
        asio::async_write(*m_stream, request,
                          [self = shared_from_this()](error_code error, std::size_t) {
                              // The response may arrive before the request is written completely.
                              self->m_written = !error;
                              self->m_write_error = error;
                              self->m_call.shared_body.reset();
                          });
        read_head();
    }

    // The library's container of fields bears no field of 64 KiB or more (see message_parser).
    [[nodiscard]] std::string render_request_head() const
    {
        const auto is = [](const std::string& name, std::string_view other) {
            return beast::iequals(name, other);
        };
        auto head = m_call.method + " " + m_call.path + " HTTP/1.1\r\n";
        bool has_host = false;
        for (const auto& [name, value] : m_call.headers) {
            if (!is(name, "Content-Length") && !is(name, "Transfer-Encoding")) {
                head += name + ": " + value + "\r\n";
            }
            has_host = has_host || is(name, "Host");
        }
        if (!has_host) {
            head += "Host: " + m_call.address + "\r\n";
        }
        const auto body_bytes = m_call.shared_body->size();
        if (body_bytes > 0 || m_call.method == "POST" || m_call.method == "PUT") {
            head += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
        }
        return head + "\r\n";
    }

    void read_head()
    {
        m_parser.emplace();
        m_parser->limit_header(m_call.max_header_bytes);
        m_buffer.max_size(
            std::max(max_unparsed_bytes, m_call.max_header_bytes + read_buffer_bytes));
        m_parser->body_limit(boost::none);
        m_parser->keep_body(read_buffer_bytes);
        m_parser->eager(false);
        m_head_begun = false;
        m_stream->expires_at(m_head_deadline);
        if (m_buffer.size() > 0) {
            limit_head_duration();
        }
        parse_head();
    }

    // Parses what was received, and reads more while the head isn't complete. A composed read would
    // hide the arrival of the first byte.
    void parse_head()
    {
        error_code error;
        if (m_buffer.size() > 0) {
            m_buffer.consume(m_parser->put(m_buffer.data(), error));
        }
        if (m_parser->is_header_done()) {
            on_head();
            return;
        }
        if (error && error != beast::http::error::need_more) {
            fail(error);
            return;
        }
        m_stream->async_read_some(
            m_buffer.prepare(std::min(read_buffer_bytes, m_buffer.max_size() - m_buffer.size())),
            [self = shared_from_this()](error_code read_error, std::size_t bytes) {
                self->on_head_bytes(read_error, bytes);
            });
    }

    void on_head_bytes(error_code error, std::size_t bytes)
    {
        m_buffer.commit(bytes);
        if (error) {
            fail(error);
            return;
        }
        limit_head_duration();
        parse_head();
    }

    void limit_head_duration()
    {
        m_answered = true;
        if (!std::exchange(m_head_begun, true)) {
            m_stream->expires_at(std::min(m_head_deadline, clock::now() + max_head_duration));
        }
    }

    void on_head()
    {
        if (m_parser->status() < first_final_status) {
            on_interim_response();
            return;
        }
        client_head head;
        head.status = static_cast<std::uint16_t>(m_parser->status());
        head.reused_connection = m_reused;
        head.headers = m_parser->headers();
        m_mismatched = !m_call.match_header.empty() && !matches(head);
        if (!m_cancelled && !m_mismatched) {
            m_owner->handler().on_head(m_call.id, head);
        }
        read_body();
    }

    [[nodiscard]] bool matches(const client_head& head) const
    {
        const auto value = head.header(m_call.match_header);
        return value == m_call.match_value || (value.empty() && m_call.match_if_present);
    }

    void read_body()
    {
        if (m_parser->is_done()) {
            if (m_mismatched) {
                skip_response();
                return;
            }
            // A reset fails the pending write only; the read then reports the end of the stream.
            if (framing() == body_framing::until_close && m_write_error) {
                fail(m_write_error);
                return;
            }
            end(call_result::complete);
            return;
        }
        m_parser->body().clear();
        m_stream->expires_at(std::min(clock::now() + m_call.progress_timeout, m_call_deadline));
        beast::http::async_read_some(
            *m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](error_code error, std::size_t) { self->on_body(error); });
    }

    void on_body(error_code error)
    {
        const auto got = m_parser->body().size();
        m_body_bytes += got;
        if (m_body_bytes > m_call.max_body_bytes) {
            end(call_result::connection_lost,
                "the body exceeds " + std::to_string(m_call.max_body_bytes) + " bytes");
            return;
        }
        if (got > 0 && !m_cancelled && !m_mismatched) {
            m_owner->handler().on_data(m_call.id, m_parser->body());
        }
        if (error && error != beast::http::error::need_buffer) {
            fail(error);
            return;
        }
        read_body();
    }

    // The response follows an interim one, except after a switch to another protocol.
    void on_interim_response()
    {
        if (m_parser->status() == switching_protocols) {
            end(call_result::connection_lost, "the server switched to another protocol");
            return;
        }
        read_head();
    }

    // Skips the late response to an earlier request; the response to this call follows on the same
    // connection.
    void skip_response()
    {
        const bool follows =
            m_parser->keep_alive() && ++m_mismatched_responses <= max_mismatched_responses;
        if (!follows) {
            end(call_result::connection_lost, "the response belongs to another request");
            return;
        }
        read_head();
    }

    void fail(error_code error)
    {
        if (error == beast::error::timeout) {
            m_owner->close_idle(m_call.address);
            end(call_result::timed_out, error.message());
            return;
        }
        end(call_result::connection_lost, error.message());
    }

    [[nodiscard]] body_framing framing() const
    {
        if (!m_parser || !m_parser->is_header_done()) {
            return body_framing::none;
        }
        if (m_parser->chunked()) {
            return body_framing::chunked;
        }
        if (m_parser->content_length()) {
            return body_framing::length;
        }
        return m_parser->need_eof() ? body_framing::until_close : body_framing::none;
    }

    void end(call_result how, std::string error = {})
    {
        if (std::exchange(m_ended, true)) {
            return;
        }
        m_owner->forget(m_call.id);
        const bool reusable = how == call_result::complete && m_parser->keep_alive() &&
                              m_buffer.size() == 0 && m_written && m_mismatched_responses == 0 &&
                              !m_cancelled;
        if (reusable) {
            m_stream->expires_never();
            m_owner->return_idle(m_call.address, std::move(m_stream),
                                 stated_idle_lifetime(m_parser->header("Keep-Alive")));
        }
        else {
            close_connection();
        }
        if (!m_cancelled) {
            m_owner->handler().on_end(m_call.id,
                                      {how, framing(), std::move(error), m_answered, m_refused});
        }
    }

    using clock = std::chrono::steady_clock;

    std::shared_ptr<client::implementation> m_owner;
    client_call m_call;
    clock::time_point m_call_deadline{};
    clock::time_point m_head_deadline{};
    bool m_head_begun = false;
    bool m_answered = false; ///< A byte of any response has come.
    std::size_t m_body_bytes = 0;
    std::unique_ptr<counted_stream> m_stream;
    asio::any_io_executor m_executor;
    bool m_reused = false;
    std::string m_request_head;
    std::optional<message_parser<false>> m_parser;
    beast::flat_buffer m_buffer{max_unparsed_bytes};
    bool m_written = false;
    error_code m_write_error;
    bool m_mismatched = false; ///< The response being read belongs to another request.
    int m_mismatched_responses = 0;
    bool m_cancelled = false;
    bool m_refused = false;
    bool m_ended = false;
};

void client::implementation::start(client_call call)
{
    const auto id = call.id;
    auto exchange = std::make_shared<client_exchange>(shared_from_this(), std::move(call));
    exchange->prepare();
    {
        const std::lock_guard lock{m_mutex};
        m_open[id] = exchange;
    }
    exchange->begin();
}

void client::implementation::cancel(std::uint64_t call)
{
    std::shared_ptr<client_exchange> exchange;
    {
        const std::lock_guard lock{m_mutex};
        const auto found = m_open.find(call);
        if (found != m_open.end()) {
            exchange = found->second.lock();
            m_open.erase(found);
        }
    }
    if (exchange) {
        exchange->cancel();
    }
}

void client::implementation::probe(const std::string& address, core::duration timeout,
                                   std::function<void(bool)> done)
{
    const auto endpoint = net::parse_address(address);
    auto stream = std::make_shared<beast::tcp_stream>(asio::make_strand(m_context));
    error_code error;
    bind_source(stream->socket(), error);
    if (!endpoint || error) {
        asio::post(m_context, [done] { done(false); });
        return;
    }
    stream->expires_after(timeout);
    stream->async_connect(
        *endpoint, [self = shared_from_this(), address, stream, done](error_code failed) {
            if (!failed) {
                error_code ignored;
                stream->socket().set_option(tcp::no_delay{true}, ignored);
                net::detect_dead_peer(stream->socket(), unacknowledged_timeout);
                stream->expires_never();
                auto kept = std::make_unique<counted_stream>(std::move(*stream));
                if (kept->take_slot(self->m_connections)) {
                    self->return_idle(address, std::move(kept), max_idle_lifetime);
                }
            }
            done(!failed);
        });
}

client::client(asio::io_context& context, client_handler& handler, const std::string& source_ip,
               core::connection_ledger* connections)
    : m_implementation(std::make_shared<implementation>(context, handler, source_ip, connections))
{
}

client::~client() = default;

void client::start(client_call call)
{
    m_implementation->start(std::move(call));
}

void client::cancel(std::uint64_t call)
{
    m_implementation->cancel(call);
}

void client::probe(const std::string& address, core::duration timeout,
                   std::function<void(bool)> done)
{
    m_implementation->probe(address, timeout, std::move(done));
}

void client::close_idle_connections(const std::string& address)
{
    m_implementation->close_idle(address);
}

std::size_t client::open_calls() const
{
    return m_implementation->open_calls();
}

} // namespace siskindrift::http
