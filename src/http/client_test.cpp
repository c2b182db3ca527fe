#include "siskindrift/http/buffered_client.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <optional>
#include <thread>

#include "siskindrift/net/mesh.h"
#include "tests/loopback.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::http;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto read_delay = std::chrono::milliseconds{100}; // lets the client read what was sent

/// Keeps what a call reported.
class recorder final : public client_handler {
public:
    void on_head(std::uint64_t, const client_head& head) override
    {
        statuses.push_back(head.status);
    }
    void on_data(std::uint64_t, const std::string& bytes) override { body += bytes; }
    void on_end(std::uint64_t, const call_end& how) override { end = how; }

    std::vector<std::uint16_t> statuses;
    std::string body;
    std::optional<call_end> end;
};

} // namespace

TEST_GROUP(Client)
{
    const std::string address = tests::unused_loopback_address();
    asio::io_context context;
    recorder handler;
    client tested{context, handler};
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 64UL * 1024;
    core::duration total_timeout = core::milliseconds{4000};

    // Sends a request with a body of @p body_bytes to a server that reads its head and then
    // acts as @p serve says.
    void call(const std::function<void(tcp::socket&)>& serve, std::size_t body_bytes = 0)
    {
        asio::io_context server_context;
        tcp::acceptor acceptor{server_context, *net::parse_address(address)};
        std::thread server{[&] {
            auto socket = acceptor.accept();
            asio::streambuf head;
            boost::system::error_code ignored;
            asio::read_until(socket, head, "\r\n\r\n", ignored);
            serve(socket);
        }};
        client_call request;
        request.id = 1;
        request.address = address;
        request.path = "/";
        request.body = std::string(body_bytes, 'x');
        request.max_header_bytes = max_header_bytes;
        request.max_body_bytes = max_body_bytes;
        request.total_timeout = total_timeout;
        tested.start(std::move(request));
        context.restart();
        context.run_for(std::chrono::seconds{5});
        server.join();
        CHECK_TRUE_TEXT(handler.end.has_value(), "the call has not ended");
    }

    static void send(tcp::socket & socket, const std::string& bytes)
    {
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        std::this_thread::sleep_for(read_delay);
    }

    /// Sends @p bytes again and again until the client closes the connection.
    static void send_endlessly(tcp::socket & socket, const std::string& bytes,
                               std::chrono::milliseconds pause = {})
    {
        boost::system::error_code error;
        while (!error) {
            asio::write(socket, asio::buffer(bytes), error);
            std::this_thread::sleep_for(pause);
        }
    }

    static void reset(tcp::socket & socket)
    {
        socket.set_option(asio::socket_base::linger{true, 0});
        socket.close();
    }

    void expect_end(call_result result, body_framing framing) const
    {
        LONGS_EQUAL_TEXT(static_cast<long>(result), static_cast<long>(handler.end->result),
                         handler.end->error.c_str());
        STRCMP_EQUAL(std::string{to_string(framing)}.c_str(),
                     std::string{to_string(handler.end->framing)}.c_str());
    }
};

TEST(Client, ReportsHowTheEndOfABodyWasMarked)
{
    call([](tcp::socket& socket) { send(socket, "HTTP/1.1 200 OK\r\n\r\nbody"); });
    expect_end(call_result::complete, body_framing::until_close);
    call([](tcp::socket& socket) {
        send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
    });
    expect_end(call_result::complete, body_framing::length);
    call([](tcp::socket& socket) {
        send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n");
    });
    expect_end(call_result::complete, body_framing::chunked);
    call([](tcp::socket& socket) { send(socket, "HTTP/1.1 204 No Content\r\n\r\n"); });
    expect_end(call_result::complete, body_framing::none);
}

TEST(Client, ReportsABodyThatClosesBeforeItsMarkedEndAsBroken)
{
    call([](tcp::socket& socket) {
        send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
    });
    expect_end(call_result::connection_lost, body_framing::length);
    call([](tcp::socket& socket) {
        send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n");
    });
    expect_end(call_result::connection_lost, body_framing::chunked);
}

TEST(Client, ReportsAnUnmarkedBodyThatIsResetAsBroken)
{
    call([](tcp::socket& socket) {
        send(socket, "HTTP/1.1 200 OK\r\n\r\nbod");
        reset(socket);
    });
    STRCMP_EQUAL("bod", handler.body.c_str());
    expect_end(call_result::connection_lost, body_framing::until_close);
}

TEST(Client, DoesNotTakeAResetDuringTheWriteOfItsRequestForTheEndOfABody)
{
    constexpr std::size_t more_than_socket_buffers = 64UL * 1024 * 1024;
    call(
        [](tcp::socket& socket) {
            send(socket, "HTTP/1.1 200 OK\r\n\r\nbod");
            reset(socket);
        },
        more_than_socket_buffers);
    expect_end(call_result::connection_lost, body_framing::until_close);
}

TEST(Client, DoesNotTakeAnInterimResponseForTheResponse)
{
    call([](tcp::socket& socket) {
        send(socket, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
        send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
    });
    expect_end(call_result::complete, body_framing::length);
    LONGS_EQUAL(1, handler.statuses.size());
    LONGS_EQUAL(200, handler.statuses.front());
    STRCMP_EQUAL("ab", handler.body.c_str());
}

TEST(Client, EndsACallWhoseHeadHasNoEnd)
{
    call([](tcp::socket& socket) {
        send(socket, "HTTP/1.1 200 OK\r\n");
        send_endlessly(socket, "X-Name: value\r\n");
    });
    expect_end(call_result::connection_lost, body_framing::none);
    call([](tcp::socket& socket) { send_endlessly(socket, "no answer "); });
    expect_end(call_result::connection_lost, body_framing::none);
}

TEST(Client, EndsACallWhoseHeadTrickles)
{
    const auto begun = std::chrono::steady_clock::now();
    call([](tcp::socket& socket) {
        send(socket, "HTTP/1.1 200 OK\r\nX-Name: ");
        send_endlessly(socket, "v", std::chrono::milliseconds{20});
    });
    expect_end(call_result::timed_out, body_framing::none);
    CHECK_TRUE(std::chrono::steady_clock::now() - begun < std::chrono::seconds{3});
}

TEST(Client, EndsACallWhoseInterimResponsesHaveNoEnd)
{
    call([](tcp::socket& socket) {
        send_endlessly(socket, "HTTP/1.1 103 Early Hints\r\n\r\n", std::chrono::milliseconds{1});
    });
    expect_end(call_result::timed_out, body_framing::none);
}

TEST(Client, EndsACallWhoseBodyExceedsItsLimit)
{
    for (const std::string head :
         {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n"}) {
        handler.body.clear();
        call([&](tcp::socket& socket) {
            send(socket, head);
            send_endlessly(socket, std::string(1000, 'x'));
        });
        LONGS_EQUAL(static_cast<long>(call_result::connection_lost),
                    static_cast<long>(handler.end->result));
        CHECK_TRUE(handler.body.size() <= max_body_bytes);
    }
}

TEST(Client, EndsACallWhoseChunkHeaderHasNoEnd)
{
    call([](tcp::socket& socket) {
        send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;name=");
        send_endlessly(socket, std::string(1000, 'x'));
    });
    expect_end(call_result::connection_lost, body_framing::chunked);
}

TEST(Client, EndsACallWhoseBodyTrickles)
{
    total_timeout = core::milliseconds{600};
    call([](tcp::socket& socket) {
        send(socket, "HTTP/1.1 200 OK\r\n\r\n");
        send_endlessly(socket, "x", std::chrono::milliseconds{20});
    });
    expect_end(call_result::timed_out, body_framing::until_close);
}

TEST(Client, SkipsALateCopyOfAnEarlierAnswerOnlyIfItNamesAnotherCall)
{
    asio::io_context server_context;
    tcp::acceptor acceptor{server_context, *net::parse_address(address)};
    std::thread server{[&] {
        boost::system::error_code ignored;
        auto connection = acceptor.accept();
        const std::string earlier = "HTTP/1.1 409 Conflict\r\nId: 1\r\nContent-Length: 0\r\n\r\n";
        const std::vector<std::string> answers{
            earlier, earlier + "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"};
        for (const auto& answer : answers) {
            asio::streambuf head;
            asio::read_until(connection, head, "\r\n\r\n", ignored);
            if (ignored) { // the client doesn't reuse a connection with extra answers
                ignored.clear();
                connection = acceptor.accept();
                asio::read_until(connection, head, "\r\n\r\n", ignored);
            }
            asio::write(connection, asio::buffer(answer), ignored);
        }
        std::this_thread::sleep_for(read_delay);
    }};
    for (const auto* name : {"1", "2", "3"}) {
        client_call request;
        request.id = static_cast<std::uint64_t>(*name - '0');
        request.address = address;
        request.path = "/";
        request.repeatable = true;
        request.match_header = "Id";
        request.match_value = name;
        request.match_if_present = true;
        handler.end.reset();
        tested.start(std::move(request));
        context.restart();
        while (!handler.end && context.run_one_for(std::chrono::seconds{5}) > 0) {
        }
    }
    server.join();
    LONGS_EQUAL(3, handler.statuses.size());
    LONGS_EQUAL(409, handler.statuses[0]);
    LONGS_EQUAL(200, handler.statuses[1]);
    LONGS_EQUAL(202, handler.statuses[2]);
}

TEST(Client, DoesNotTakeALateCopyOfAnAnswerForTheAnswerToTheSameRequest)
{
    asio::io_context server_context;
    tcp::acceptor acceptor{server_context, *net::parse_address(address)};
    const std::string refusal =
        "HTTP/1.1 503 Service Unavailable\r\nId: 7\r\nContent-Length: 0\r\n\r\n";
    std::thread server{[&] {
        boost::system::error_code ignored;
        auto first = acceptor.accept();
        asio::streambuf head;
        asio::read_until(first, head, "\r\n\r\n", ignored);
        asio::write(first, asio::buffer(refusal), ignored);
        // Answers the second call on whichever connection it comes.
        acceptor.non_blocking(true);
        tcp::socket second{server_context};
        first.non_blocking(true);
        std::array<char, 512> bytes{};
        std::size_t got = 0;
        while (got == 0 && !second.is_open()) {
            got = first.read_some(asio::buffer(bytes), ignored);
            acceptor.accept(second, ignored);
        }
        first.non_blocking(false);
        asio::write(first, asio::buffer(refusal), ignored);
        auto& used = second.is_open() ? second : first;
        asio::write(
            used,
            asio::buffer(std::string{"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n"}),
            ignored);
        std::this_thread::sleep_for(read_delay);
    }};
    for (const bool again : {false, true}) {
        client_call request;
        request.id = again ? 2 : 1;
        request.address = address;
        request.path = "/";
        request.max_idle_time = std::chrono::seconds{1};
        request.match_header = "Id";
        request.match_value = "7";
        request.new_connection = again;
        handler.end.reset();
        tested.start(std::move(request));
        context.restart();
        while (!handler.end && context.run_one_for(std::chrono::seconds{5}) > 0) {
        }
    }
    server.join();
    LONGS_EQUAL(2, handler.statuses.size());
    LONGS_EQUAL(503, handler.statuses.front());
    LONGS_EQUAL(200, handler.statuses.back());
}

// Guards against the end of the process by bodies without end, each of which is below its limit.
TEST(Client, DropsTheLargestOfTheBufferedResponsesThatTogetherAreTooLarge)
{
    asio::io_context server_context;
    tcp::acceptor acceptor{server_context, *net::parse_address(address)};
    std::thread server{[&] {
        auto large = acceptor.accept();
        auto small = acceptor.accept();
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: ";
        asio::write(large, asio::buffer(head + "9000\r\n\r\n" + std::string(7000, 'x')));
        std::this_thread::sleep_for(read_delay);
        asio::write(small, asio::buffer(head + "5000\r\n\r\n" + std::string(5000, 'x')));
        asio::streambuf rest;
        boost::system::error_code ignored;
        asio::read_until(small, rest, "end of the connection", ignored);
    }};
    buffered_client buffered{context, 10'000};
    std::vector<std::size_t> received;
    for (int i = 0; i < 2; ++i) {
        client_call call;
        call.address = address;
        call.method = "GET";
        call.path = "/";
        call.connect_timeout = call.head_timeout = call.progress_timeout = total_timeout;
        buffered.start(std::move(call), [&](std::optional<buffered_response> response) {
            received.push_back(response ? response->body.size() : 0);
            if (received.size() == 2) {
                context.stop();
            }
        });
    }
    context.run();
    context.restart();
    buffered.close_idle_connections(address);
    server.join();
    UNSIGNED_LONGS_EQUAL(0, received[0]);
    UNSIGNED_LONGS_EQUAL(5000, received[1]);
}

// Guards against a server that ends the process with a long header field.
TEST(Client, TakesAHeadOfAnyLengthWithinItsLimit)
{
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Long: " + std::string(150'000, 'v') + "\r\nContent-Length: 2\r\n\r\n";
    const auto serve = [&](tcp::socket& socket) { send(socket, head + "hi"); };
    max_header_bytes = 200'000;
    call(serve);
    expect_end(call_result::complete, body_framing::length);
    STRCMP_EQUAL("hi", handler.body.c_str());
    handler.end.reset();
    max_header_bytes = 100'000;
    call(serve);
    expect_end(call_result::connection_lost, body_framing::none);
}
