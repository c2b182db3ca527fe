#include "siskindrift/http/server.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <sys/socket.h>

#include "message_parser.h"
#include "siskindrift/net/mesh.h"

namespace siskindrift::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using beast::error_code;

namespace {

// Longer than for the client's connections, because a caller may pause reading.
constexpr core::milliseconds unacknowledged_timeout{10'000};
// A connection gives back a larger buffer after a write.
constexpr std::size_t max_kept_capacity = 64UL * 1024;
constexpr std::size_t read_bytes = 4096; // holds most request headers
constexpr std::size_t max_read_bytes = 64UL * 1024;
// Limit for what the kernel keeps of a connection that isn't read; it doubles the value.
constexpr int receive_buffer_bytes = 64 * 1024;
constexpr std::size_t max_unread_bytes = 2UL * receive_buffer_bytes;
// What a connection takes before it receives anything: its objects and the first buffer.
constexpr std::size_t connection_bytes = 8UL * 1024;
// Header fields are kept as received and again as strings.
constexpr std::size_t copies_of_header = 2;
// How long, and how much, is still read of a request that was refused, so that the caller doesn't
// lose the response to a reset.
constexpr core::milliseconds linger_timeout{2000};
constexpr std::size_t max_linger_bytes = 8UL * 1024 * 1024;
// What a request takes beside its body: its header, and the buffer that it is read into.
constexpr std::uint64_t request_overhead_bytes = 256UL * 1024;
// Until connections are accepted again after a failure, such as a lack of descriptors.
constexpr core::milliseconds accept_retry_interval{100};
// When a caller may return that was refused for lack of memory: incomplete requests are over then.
constexpr std::string_view memory_retry_after_s = "1";

std::string status_line(std::uint16_t status)
{
    const auto known = beast::http::int_to_status(status);
    return "HTTP/1.1 " + std::to_string(status) + " " +
           std::string{beast::http::obsolete_reason(known)} + "\r\n";
}

std::string render_head(std::uint16_t status, const header_list& headers)
{
    auto head = status_line(status);
    for (const auto& [name, value] : headers) {
        head += name + ": " + value + "\r\n";
    }
    return head;
}

std::string render_chunk(const std::string& data)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

} // namespace

std::string server_request::header(const std::string& name) const
{
    for (const auto& [key, value] : headers) {
        if (beast::iequals(key, name)) {
            return value;
        }
    }
    return {};
}

/// State shared by the server and its connections.
struct server_shared {
    server_limits limits;
    server_handler& handler;
    server_resources resources;
    std::atomic<bool> closing{false}; ///< Every connection closes after its next response.
    std::atomic<std::size_t> pending_responses{0};
    std::atomic<std::size_t> connections{0};
    std::atomic<std::uint64_t> next_exchange{1};
};

/// One connection. Its members are used on its strand only, except the atomic backlog.
class server_connection final : public core::memory_holder,
                                public core::connection_holder,
                                public std::enable_shared_from_this<server_connection> {
public:
    server_connection(tcp::socket socket, std::shared_ptr<server_shared> shared)
        : m_stream(std::move(socket)), m_shared(std::move(shared))
    {
        ++m_shared->connections;
        if (m_shared->resources.memory != nullptr) {
            m_account.emplace(*m_shared->resources.memory, *this);
            m_incoming.emplace(*m_shared->resources.memory, m_incoming_holder);
        }
        if (m_shared->resources.connections != nullptr) {
            m_slot.emplace(*m_shared->resources.connections, this);
        }
    }
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;
    ~server_connection() override { --m_shared->connections; }

    void begin()
    {
        error_code ignored;
        m_stream.socket().set_option(tcp::no_delay{true}, ignored);
        net::detect_dead_peer(m_stream.socket(), unacknowledged_timeout);
        m_remote = m_stream.socket().remote_endpoint(ignored).address().to_string(ignored);
        asio::dispatch(m_stream.get_executor(), [self = shared_from_this()] {
            if (!self->reserve(0, core::memory_use::awaited)) {
                self->m_shared->handler.on_refused(core::reason::memory_limit);
                self->close();
                return;
            }
            self->await_request(true);
        });
    }

    // Called by responders from any thread.
    void write(std::uint64_t exchange, std::string bytes, bool last)
    {
        m_backlog += bytes.size();
        asio::post(m_stream.get_executor(),
                   [self = shared_from_this(), exchange, bytes = std::move(bytes), last]() mutable {
                       self->queue(exchange, std::move(bytes), last);
                   });
    }

    void abort(std::uint64_t exchange)
    {
        asio::post(m_stream.get_executor(), [self = shared_from_this(), exchange] {
            if (exchange == self->m_exchange) {
                self->close();
            }
        });
    }

    // Closes the connection as soon as the bytes written so far are sent.
    void break_off(std::uint64_t exchange)
    {
        asio::post(m_stream.get_executor(), [self = shared_from_this(), exchange] {
            if (exchange == self->m_exchange) {
                self->m_breaking_off = true;
                if (!self->m_writing) {
                    self->close();
                }
            }
        });
    }

    // Ends the response to an HTTP/1.0 caller with a reset unless it is ended as complete: a
    // connection that closes marks its end.
    void reset_unless_complete(std::uint64_t exchange)
    {
        asio::post(m_stream.get_executor(), [self = shared_from_this(), exchange] {
            if (exchange == self->m_exchange && !self->m_closed) {
                self->m_close_after = true;
                self->reset_on_close(true);
            }
        });
    }

    void release_memory() override
    {
        if (auto self = weak_from_this().lock()) {
            asio::post(m_stream.get_executor(), [self = std::move(self)] {
                if (!self->m_closed) {
                    self->m_shared->handler.on_refused(core::reason::memory_limit);
                    self->close();
                }
            });
        }
    }

    // Refuses the request that is being received.
    void release_incoming()
    {
        if (auto self = weak_from_this().lock()) {
            asio::post(m_stream.get_executor(), [self = std::move(self)] {
                if (!self->m_closed && !self->m_responding && !self->m_refused) {
                    self->m_lacks_memory = true; // the read that ends now refuses it
                    self->m_stream.cancel();
                }
            });
        }
    }

    void close_waiting() override
    {
        if (auto self = weak_from_this().lock()) {
            asio::post(m_stream.get_executor(), [self = std::move(self)] {
                if (!self->m_closed && !self->m_responding) {
                    self->m_shared->handler.on_refused(core::reason::connection_limit);
                    self->close();
                }
            });
        }
    }

    [[nodiscard]] bool closing() const { return m_shared->closing; }
    [[nodiscard]] std::size_t backlog() const { return m_backlog; }
    [[nodiscard]] const server_limits& limits() const { return m_shared->limits; }

private:
    /// Tells the ledger of the request that is being received, apart from responses.
    class incoming_holder final : public core::memory_holder {
    public:
        explicit incoming_holder(server_connection& owner) : m_owner(owner) {}
        void release_memory() override { m_owner.release_incoming(); }

    private:
        server_connection& m_owner;
    };

    void await_request(bool first)
    {
        m_parser.emplace();
        m_head_bytes = 0;
        m_body_bytes = 0;
        m_received_bytes = 0;
        give_back_buffer();
        if (m_slot) {
            m_slot->begin_waiting();
        }
        if (m_buffer.size() == 0) {
            set_incoming(connection_bytes);
        }
        m_stream.expires_after(first ? m_shared->limits.header_timeout
                                     : m_shared->limits.idle_timeout);
        parse_header();
    }

    // Without a request, a connection keeps a small buffer only.
    void give_back_buffer()
    {
        if (m_buffer.size() == 0 && m_buffer.capacity() > read_bytes) {
            m_buffer = beast::flat_buffer{};
        }
    }

    // Parses what was received, and reads more while the header isn't complete. The limits are
    // those in force when the bytes arrive, not those of when the connection became idle.
    void parse_header()
    {
        m_parser->limit_header(m_shared->limits.max_header_bytes);
        m_parser->body_limit(max_body_bytes());
        error_code error;
        if (m_buffer.size() > 0) {
            const auto consumed = m_parser->put(m_buffer.data(), error);
            m_head_bytes += copies_of_header * consumed;
            m_buffer.consume(consumed);
        }
        if (error == beast::http::error::need_more) {
            error = {};
        }
        if (error || m_parser->is_header_done()) {
            on_header(error);
            return;
        }
        // The first buffer is part of what every connection keeps.
        if (m_buffer.size() > 0 && !reserve(read_bytes)) {
            refuse_for_memory();
            return;
        }
        m_stream.async_read_some(m_buffer.prepare(read_bytes),
                                 [self = shared_from_this()](error_code failed, std::size_t bytes) {
                                     self->on_header_bytes(failed, bytes);
                                 });
    }

    void on_header_bytes(error_code error, std::size_t bytes)
    {
        m_buffer.commit(bytes);
        m_received_bytes += bytes;
        if (m_lacks_memory) {
            refuse_for_memory();
            return;
        }
        if (error == asio::error::eof && m_parser->got_some()) {
            error = beast::http::error::partial_message;
        }
        if (error) {
            on_header(error);
            return;
        }
        parse_header();
    }

    void on_header(error_code error)
    {
        if (error) {
            refuse(error, false);
            return;
        }
        // With any other coding the end of the body would be ambiguous.
        const auto coding = m_parser->header("Transfer-Encoding");
        if (!coding.empty() && !beast::iequals(coding, "chunked")) {
            refuse(beast::http::error::bad_transfer_encoding, false);
            return;
        }
        // A body whose length is stated has its room before it comes, or is refused before it.
        if (const auto length = m_parser->content_length(); length && !reserve(0)) {
            refuse_for_memory();
            return;
        }
        if (beast::iequals(m_parser->header("Expect"), "100-continue")) {
            static const std::string continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
            error_code ignored;
            asio::write(m_stream.socket(), asio::buffer(continue_response), ignored);
        }
        m_stream.expires_after(m_shared->limits.body_timeout);
        m_parser->eager(true);
        read_body();
    }

    // Parses what was received, and reads more while the body isn't complete.
    void read_body()
    {
        if (m_parser->chunked() && !reserve_chunked_body()) {
            refuse_for_memory();
            return;
        }
        error_code error;
        while (!error && !m_parser->is_done() && m_buffer.size() > 0) {
            m_buffer.consume(m_parser->put(m_buffer.data(), error));
        }
        if (error == beast::http::error::need_more) {
            error = {};
        }
        if (error || m_parser->is_done()) {
            on_body(error);
            return;
        }
        // The parser leaves the header of a chunk, or the trailer, until it is complete.
        if (m_buffer.size() > m_shared->limits.max_header_bytes) {
            refuse(beast::http::error::header_limit, true);
            return;
        }
        const auto left = m_parser->content_length_remaining();
        const auto size =
            std::clamp<std::size_t>(left ? *left : body_bytes(), read_bytes, max_read_bytes);
        if (!reserve(size)) {
            refuse_for_memory();
            return;
        }
        m_stream.async_read_some(m_buffer.prepare(size),
                                 [self = shared_from_this()](error_code failed, std::size_t bytes) {
                                     self->on_body_bytes(failed, bytes);
                                 });
    }

    void on_body_bytes(error_code error, std::size_t bytes)
    {
        m_buffer.commit(bytes);
        m_received_bytes += bytes;
        if (m_lacks_memory) {
            refuse_for_memory();
            return;
        }
        if (error) {
            on_body(error == asio::error::eof ? beast::http::error::partial_message : error);
            return;
        }
        read_body();
    }

    // A body that the process never has the memory for is too large, whatever its limit says.
    [[nodiscard]] std::size_t max_body_bytes() const
    {
        const auto* memory = m_shared->resources.memory;
        const auto limit = m_shared->limits.max_body_bytes;
        if (memory == nullptr) {
            return limit;
        }
        const auto largest = memory->largest_message();
        return std::min<std::size_t>(limit,
                                     largest - std::min(largest / 2, request_overhead_bytes));
    }

    [[nodiscard]] std::size_t body_bytes() { return m_parser->body().size(); }

    // Grows the body of unknown length by doubling, once the ledger has room for the next size.
    [[nodiscard]] bool reserve_chunked_body()
    {
        auto& body = m_parser->body();
        const auto needed = body.size() + m_buffer.size();
        if (needed <= body.capacity()) {
            return true;
        }
        const auto capacity = std::max(std::min(2 * body.capacity(), max_body_bytes()), needed);
        if (!reserve(capacity)) {
            return false;
        }
        body.reserve(capacity);
        return true;
    }

    // Reserves memory for what is kept of the request now and for @p further bytes.
    [[nodiscard]] bool reserve(std::size_t further,
                               core::memory_use use = core::memory_use::receiving)
    {
        if (!m_incoming) {
            return true;
        }
        if (!m_responding && m_parser && m_parser->is_header_done()) {
            m_body_bytes = std::max<std::size_t>(m_parser->body().capacity(),
                                                 m_parser->content_length().value_or(0));
        }
        const auto bytes =
            connection_bytes + m_head_bytes + m_body_bytes + m_buffer.capacity() + further;
        return m_incoming->reserve(bytes, use, m_received_bytes);
    }

    void set_incoming(std::size_t bytes)
    {
        if (m_incoming) {
            m_incoming->set(bytes, core::memory_use::awaited);
        }
    }

    void refuse(error_code error, bool in_body)
    {
        const bool quiet = error == beast::http::error::end_of_stream ||
                           error == asio::error::operation_aborted ||
                           error == asio::error::connection_reset || error == asio::error::eof ||
                           (error == beast::error::timeout && m_buffer.size() == 0 && !in_body);
        if (quiet) {
            close();
            return;
        }
        const bool large = error == beast::http::error::body_limit;
        const bool header = error == beast::http::error::header_limit;
        const auto why = large ? core::reason::body_too_large : core::reason::bad_request;
        if (error == beast::error::timeout) {
            m_shared->handler.on_refused(why);
            close(); // the stream closed its socket on the timeout, so no response can be sent
            return;
        }
        refuse(large ? 413 : header ? 431 : 400, why, error.message(), {});
    }

    // The request has not been handed over, so that its caller may send it again.
    void refuse_for_memory()
    {
        constexpr std::uint16_t service_unavailable = 503;
        refuse(service_unavailable, core::reason::memory_limit, "the process keeps too many bytes",
               {{"Retry-After", std::string{memory_retry_after_s}}});
    }

    void refuse(std::uint16_t status, core::reason why, const std::string& message,
                header_list headers)
    {
        m_refused = true;
        m_shared->handler.on_refused(why);
        m_parser.emplace();
        m_buffer = beast::flat_buffer{};
        m_head_bytes = m_body_bytes = 0;
        set_incoming(0); // also ends a request of the ledger to release it
        set_incoming(connection_bytes);
        const std::string body =
            R"({"error":{"message":")" + message + R"(","type":"invalid_request_error","code":")" +
            std::string{core::to_string(why)} + R"(","verdict":"not_run","reason":")" +
            std::string{core::to_string(why)} + "\"}}";
        m_close_after = true;
        m_exchange = m_shared->next_exchange++;
        headers.insert(headers.end(), {{"Content-Type", "application/json"},
                                       {"Siskindrift-Verdict", "not_run"},
                                       {"Siskindrift-Reason", std::string{core::to_string(why)}},
                                       {"Connection", "close"},
                                       {"Content-Length", std::to_string(body.size())}});
        queue(m_exchange, render_head(status, headers) + "\r\n" + body, true);
    }

    // Reads on after the response to a refused request: a socket that is closed with unread bytes
    // resets the connection, and the caller may lose the response.
    void linger()
    {
        error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        m_stream.expires_after(linger_timeout);
        m_received_bytes = 0;
        discard();
    }

    void discard()
    {
        m_stream.async_read_some(m_buffer.prepare(read_bytes),
                                 [self = shared_from_this()](error_code error, std::size_t bytes) {
                                     self->m_received_bytes += bytes;
                                     if (error || self->m_received_bytes > max_linger_bytes) {
                                         self->close();
                                         return;
                                     }
                                     self->discard();
                                 });
    }

    void on_body(error_code error);

    [[nodiscard]] bool has_caller_left()
    {
        char byte = 0;
        const auto got =
            ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
    }

    // Detects a caller that disconnects while its request is processed: its stream reaches the end.
    void watch_caller()
    {
        m_stream.socket().async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this(), exchange = m_exchange](error_code error) {
                if (error || exchange != self->m_exchange || !self->m_responding) {
                    return;
                }
                if (self->has_caller_left()) {
                    self->close();
                    return;
                }
                // The caller pipelined its next request, which is read after this response and
                // waits in the socket until then.
                if (!self->reserve(max_unread_bytes, core::memory_use::awaited)) {
                    self->m_shared->handler.on_refused(core::reason::memory_limit);
                    self->close();
                }
            });
    }

    void queue(std::uint64_t exchange, std::string bytes, bool last)
    {
        if (m_closed || exchange != m_exchange) {
            m_backlog -= std::min<std::size_t>(m_backlog, bytes.size());
            return;
        }
        // A response that is written at once may be larger than what a slow caller may leave.
        const auto unread = m_backlog - std::min<std::size_t>(m_backlog, bytes.size());
        if (unread > m_shared->limits.max_backlog_bytes + m_shared->limits.max_body_bytes) {
            m_shared->handler.on_refused(core::reason::caller_too_slow);
            close();
            return;
        }
        m_queue.push_back(std::move(bytes));
        update_account();
        m_last_queued = m_last_queued || last;
        if (!m_writing) {
            write_next();
        }
    }

    void write_next()
    {
        if (m_queue.empty()) {
            if (m_breaking_off) {
                close();
            }
            else if (m_last_queued) {
                finish_response();
            }
            return;
        }
        m_writing = true;
        // Sends everything queued during the previous write at once.
        m_out.clear();
        for (const auto& part : m_queue) {
            m_out += part;
        }
        m_queue.clear();
        m_stream.expires_after(m_shared->limits.write_timeout);
        asio::async_write(
            m_stream, asio::buffer(m_out),
            [self = shared_from_this()](error_code error, std::size_t) {
                self->m_writing = false;
                self->m_backlog -= std::min<std::size_t>(self->m_backlog, self->m_out.size());
                if (self->m_out.capacity() > max_kept_capacity) {
                    std::string{}.swap(self->m_out);
                }
                self->update_account();
                if (error) {
                    if (error == beast::error::timeout) {
                        self->m_shared->handler.on_refused(core::reason::caller_too_slow);
                    }
                    self->close();
                    return;
                }
                self->m_stream.expires_never();
                self->write_next();
            });
    }

    void update_account()
    {
        if (m_account) {
            m_account->set(m_closed ? 0 : m_backlog.load());
        }
    }

    void finish_response()
    {
        end_response();
        m_last_queued = false;
        m_exchange = 0;
        if (m_refused) {
            linger();
            return;
        }
        if (m_close_after || m_shared->closing) {
            error_code ignored;
            if (m_resets_on_close) {
                reset_on_close(false);
            }
            m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
            close();
            return;
        }
        error_code ignored;
        m_stream.socket().cancel(ignored); // ends the wait of watch_caller()
        await_request(false);
    }

    void end_response()
    {
        if (std::exchange(m_responding, false)) {
            --m_shared->pending_responses;
        }
    }

    void reset_on_close(bool reset)
    {
        error_code failed;
        m_resets_on_close = reset;
        m_stream.socket().set_option(asio::socket_base::linger{reset, 0}, failed);
        if (failed && reset) {
            close(); // without the reset, a partial response would look complete
        }
    }

    void close()
    {
        if (m_closed) {
            return;
        }
        m_closed = true;
        m_queue.clear();
        update_account();
        set_incoming(0);
        m_slot.reset();
        error_code ignored;
        m_stream.socket().close(ignored);
        if (m_responding) {
            end_response();
            m_shared->handler.on_caller_disconnected(m_exchange);
        }
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<server_shared> m_shared;
    beast::flat_buffer m_buffer;
    std::optional<message_parser<true>> m_parser;
    std::string m_remote;
    std::deque<std::string> m_queue;
    std::string m_out;
    std::atomic<std::size_t> m_backlog{0};
    std::uint64_t m_exchange = 0;
    bool m_responding = false;
    bool m_writing = false;
    bool m_last_queued = false;
    bool m_close_after = false;
    bool m_resets_on_close = false;
    bool m_breaking_off = false; ///< Closes after the queued bytes, without the response's end.
    bool m_closed = false;
    bool m_refused = false;       ///< The last request; the connection closes after the response.
    bool m_lacks_memory = false;  ///< For the request that is being received.
    std::size_t m_head_bytes = 0; ///< Kept of the header of the current request.
    std::size_t m_body_bytes = 0; ///< Kept, or reserved, for its body.
    std::size_t m_received_bytes = 0; ///< Of the current request.
    incoming_holder m_incoming_holder{*this};
    std::optional<core::memory_account> m_account;  ///< Of what the caller hasn't read.
    std::optional<core::memory_account> m_incoming; ///< Of what was received.
    std::optional<core::connection_slot> m_slot;
};

namespace {

class connection_responder final : public responder {
public:
    connection_responder(std::shared_ptr<server_connection> connection, std::uint64_t exchange,
                         bool close_after, bool chunked)
        : m_connection(std::move(connection)), m_exchange(exchange), m_close_after(close_after),
          m_chunked(chunked)
    {
    }

    void respond(std::uint16_t status, header_list headers, std::string body) override
    {
        headers.emplace_back("Content-Length", std::to_string(body.size()));
        add_connection_header(headers);
        m_connection->write(m_exchange, render_head(status, headers) + "\r\n" + body, true);
    }

    void begin(std::uint16_t status, header_list headers) override
    {
        if (m_chunked) {
            headers.emplace_back("Transfer-Encoding", "chunked");
        }
        else {
            m_close_after = true;
            m_connection->reset_unless_complete(m_exchange);
        }
        add_connection_header(headers);
        m_connection->write(m_exchange, render_head(status, headers) + "\r\n", false);
    }

    void write_chunk(std::string data) override
    {
        if (!data.empty()) {
            m_connection->write(m_exchange, m_chunked ? render_chunk(data) : std::move(data),
                                false);
        }
    }

    void end() override { m_connection->write(m_exchange, m_chunked ? "0\r\n\r\n" : "", true); }
    void abort() override { m_connection->abort(m_exchange); }
    void break_off() override { m_connection->break_off(m_exchange); }
    [[nodiscard]] std::size_t backlog() const override { return m_connection->backlog(); }

private:
    void add_connection_header(header_list& headers) const
    {
        if (m_close_after || m_connection->closing()) {
            headers.emplace_back("Connection", "close");
        }
    }

    std::shared_ptr<server_connection> m_connection;
    std::uint64_t m_exchange;
    bool m_close_after;
    bool m_chunked;
};

} // namespace

void server_connection::on_body(error_code error)
{
    if (error) {
        refuse(error, true);
        return;
    }
    // After a pause of this process the request may be old, and may have been sent elsewhere.
    if (has_caller_left()) {
        close();
        return;
    }
    give_back_buffer();
    if (!reserve(0, core::memory_use::awaited)) {
        refuse_for_memory();
        return;
    }
    if (m_slot) {
        m_slot->end_waiting();
    }
    m_stream.expires_never();
    server_request request;
    request.method = m_parser->method();
    request.target = m_parser->target();
    request.remote_address = m_remote;
    request.headers = std::move(m_parser->headers());
    m_close_after = !m_parser->keep_alive();
    constexpr int first_version_with_chunks = 11; // HTTP/1.1
    const bool chunked = m_parser->version() >= first_version_with_chunks;
    request.body = std::move(m_parser->body());
    m_parser.reset();
    m_exchange = m_shared->next_exchange++;
    m_responding = true;
    ++m_shared->pending_responses;
    watch_caller();
    m_shared->handler.on_request(m_exchange, std::move(request),
                                 std::make_shared<connection_responder>(
                                     shared_from_this(), m_exchange, m_close_after, chunked));
}

class server::implementation : public std::enable_shared_from_this<server::implementation> {
public:
    implementation(asio::io_context& context, server_limits limits, server_handler& handler,
                   server_resources resources)
        : m_context(context), m_acceptor(context), m_accept_timer(context),
          m_shared(new server_shared{limits, handler, resources, {}, {}, {}, {1}})
    {
    }

    bool listen(const std::string& address, std::string& error)
    {
        const auto endpoint = net::parse_address(address);
        if (!endpoint) {
            error = "not an IP:port address: " + address;
            return false;
        }
        error_code code;
        m_acceptor.open(endpoint->protocol(), code);
        m_acceptor.set_option(tcp::acceptor::reuse_address{true}, code);
        // Connections inherit it. Without it, their receive buffers grow by themselves.
        m_acceptor.set_option(asio::socket_base::receive_buffer_size{receive_buffer_bytes}, code);
        m_acceptor.bind(*endpoint, code);
        if (!code) {
            m_acceptor.listen(4096, code);
        }
        if (code) {
            error = address + ": " + code.message();
            return false;
        }
        accept();
        return true;
    }

    void stop()
    {
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            error_code ignored;
            self->m_acceptor.close(ignored);
        });
    }

    [[nodiscard]] std::size_t connections() const { return m_shared->connections; }
    [[nodiscard]] std::size_t pending_responses() const { return m_shared->pending_responses; }
    void set_limits(const server_limits& limits) { m_shared->limits = limits; }
    void close_after_responses() { m_shared->closing = true; }

private:
    void accept()
    {
        m_acceptor.async_accept(
            asio::make_strand(m_context),
            [self = shared_from_this()](error_code error, tcp::socket socket) {
                if (error == asio::error::operation_aborted || !self->m_acceptor.is_open()) {
                    return;
                }
                if (error) {
                    self->m_shared->handler.on_refused(core::reason::connection_limit);
                    self->accept_later();
                    return;
                }
                self->take(std::move(socket));
                self->accept();
            });
    }

    // Serves a new connection, or closes it if there are too many.
    void take(tcp::socket socket)
    {
        const auto& resources = m_shared->resources;
        if (m_shared->connections >= m_shared->limits.max_connections) {
            m_shared->handler.on_refused(core::reason::queue_full);
        }
        else if (resources.connections != nullptr &&
                 !resources.connections->admit(resources.kind)) {
            m_shared->handler.on_refused(core::reason::connection_limit);
        }
        else {
            std::make_shared<server_connection>(std::move(socket), m_shared)->begin();
        }
    }

    // An accept that fails for want of a descriptor would fail again at once.
    void accept_later()
    {
        m_accept_timer.expires_after(accept_retry_interval);
        m_accept_timer.async_wait([self = shared_from_this()](error_code) {
            if (self->m_acceptor.is_open()) {
                self->accept();
            }
        });
    }

    asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_accept_timer;
    std::shared_ptr<server_shared> m_shared;
};

server::server(asio::io_context& context, server_limits limits, server_handler& handler,
               server_resources resources)
    : m_implementation(std::make_shared<implementation>(context, limits, handler, resources))
{
}

server::~server() = default;

bool server::listen(const std::string& address, std::string& error)
{
    return m_implementation->listen(address, error);
}

void server::set_limits(const server_limits& limits)
{
    m_implementation->set_limits(limits);
}

void server::close_after_responses()
{
    m_implementation->close_after_responses();
}

void server::stop_accepting()
{
    m_implementation->stop();
}

std::size_t server::pending_responses() const
{
    return m_implementation->pending_responses();
}

std::size_t server::connections() const
{
    return m_implementation->connections();
}

} // namespace siskindrift::http
