#include "siskindrift/http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "siskindrift/net/mesh.h"
#include "tests/loopback.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::http;
namespace asio = boost::asio;

namespace {

class echo final : public server_handler {
public:
    void on_request(std::uint64_t, server_request request,
                    std::shared_ptr<responder> response) override
    {
        ++requests;
        if (request.target == "/stream" || request.target == "/broken") {
            response->begin(200, {});
            response->write_chunk("part");
            if (request.target == "/stream") {
                response->end();
            }
            else {
                response->break_off();
            }
            return;
        }
        if (request.target == "/large") {
            response->respond(200, {}, std::string(large_bytes, 'x'));
            return;
        }
        response->respond(200, {}, request.body);
        pending_after_respond = observed->pending_responses();
    }
    void on_caller_disconnected(std::uint64_t) override {}
    void on_refused(core::reason why) override { last_rejection = why; }

    static constexpr std::size_t large_bytes = 32UL * 1024 * 1024; // more than sockets buffer
    const server* observed = nullptr;
    std::atomic<std::size_t> pending_after_respond{0};
    std::atomic<int> requests{0};
    std::atomic<core::reason> last_rejection{core::reason::none};
};

} // namespace

TEST_GROUP(Server)
{
    const std::string address = tests::unused_loopback_address();
    core::memory_ledger memory{echo::large_bytes * 3 / 2};
    asio::io_context context;
    echo handler;
    std::unique_ptr<server> tested;
    std::thread worker;

    void setup() override
    {
        server_limits limits;
        limits.max_connections = 3;
        limits.max_body_bytes = 1000;
        limits.max_backlog_bytes = 2 * echo::large_bytes;
        limits.max_header_bytes = 2000;
        limits.header_timeout = std::chrono::milliseconds{300};
        limits.body_timeout = std::chrono::milliseconds{300};
        tested =
            std::make_unique<server>(context, limits, handler, server_resources{.memory = &memory});
        handler.observed = tested.get();
        std::string error;
        CHECK_TRUE_TEXT(tested->listen(address, error), error.c_str());
        worker = std::thread{[this] {
            const auto guard = asio::make_work_guard(context);
            context.run();
        }};
    }
    void teardown() override
    {
        context.stop();
        worker.join();
    }

    // Sends bytes and returns what is received up to the end of the response head or until the
    // server closes the connection.
    std::string exchange(const std::string& bytes)
    {
        asio::io_context own;
        asio::ip::tcp::socket socket{own};
        socket.connect(*net::parse_address(address));
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        asio::streambuf answer;
        asio::read_until(socket, answer, "\r\n\r\n", ignored);
        return {asio::buffers_begin(answer.data()), asio::buffers_end(answer.data())};
    }

    // Sends a request and returns all that follows until the connection ends.
    std::string receive_until_end(const std::string& request, boost::system::error_code& ended)
    {
        asio::io_context own;
        asio::ip::tcp::socket socket{own};
        socket.connect(*net::parse_address(address));
        asio::write(socket, asio::buffer(request));
        std::string received;
        asio::read(socket, asio::dynamic_buffer(received), ended);
        return received;
    }

    void expect_alive()
    {
        const auto answer =
            exchange("POST / HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi");
        CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 200"), answer.c_str());
    }
};

TEST(Server, CountsAResponseAsPendingUntilItIsWritten)
{
    exchange("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    LONGS_EQUAL(1, static_cast<long>(handler.pending_after_respond)); // queued, but not written yet
    for (int i = 0; i < 500 && tested->pending_responses() > 0; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    LONGS_EQUAL(0, static_cast<long>(tested->pending_responses()));
}

TEST(Server, RejectsAnOversizedBodyAndKeepsServing)
{
    const auto answer = exchange("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n");
    CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 413"), answer.c_str());
    CHECK_TRUE(handler.last_rejection == core::reason::body_too_large);
    expect_alive();
}

TEST(Server, RejectsAnOversizedHeaderAndKeepsServing)
{
    const auto answer = exchange("POST / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n");
    CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 431"), answer.c_str());
    expect_alive();
}

TEST(Server, RejectsGarbageAndKeepsServing)
{
    const auto answer = exchange("\x01\x02 garbage \xff\r\n\r\n");
    CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 400"), answer.c_str());
    expect_alive();
}

TEST(Server, ClosesAConnectionWhoseBodyStalls)
{
    const auto answer = exchange("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    STRCMP_EQUAL_TEXT("", answer.c_str(), "the connection should be closed without an answer");
    // The socket is closed by a timer, before the read that fails by it ends.
    for (int i = 0; i < 500 && handler.last_rejection == core::reason::none; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    CHECK_TRUE(handler.last_rejection == core::reason::bad_request);
    expect_alive();
}

TEST(Server, ClosesIdleConnectionsAndLimitsTheirNumber)
{
    asio::io_context own;
    std::vector<asio::ip::tcp::socket> idle;
    for (int i = 0; i < 6; ++i) {
        idle.emplace_back(own);
        idle.back().connect(*net::parse_address(address));
    }
    // Connections beyond the limit are closed at once, the others after the header timeout.
    for (auto& socket : idle) {
        char byte = 0;
        boost::system::error_code closed;
        asio::read(socket, asio::buffer(&byte, 1), closed);
        CHECK_TRUE(closed.failed());
    }
    expect_alive();
}

TEST(Server, EndsAChunkedResponseThatIsBrokenOffWithoutItsLastChunk)
{
    boost::system::error_code ended;
    const auto whole =
        receive_until_end("GET /stream HTTP/1.1\r\nConnection: close\r\n\r\n", ended);
    CHECK_TRUE_TEXT(whole.ends_with("4\r\npart\r\n0\r\n\r\n"), whole.c_str());
    const auto broken = receive_until_end("GET /broken HTTP/1.1\r\n\r\n", ended);
    CHECK_TRUE_TEXT(broken.ends_with("4\r\npart\r\n"), broken.c_str());
}

TEST(Server, HandsOverNoRequestWhoseCallerLeftWhileTheProcessStoodStill)
{
    asio::post(context, [] { std::this_thread::sleep_for(std::chrono::milliseconds{300}); });
    {
        asio::io_context own;
        asio::ip::tcp::socket socket{own};
        socket.connect(*net::parse_address(address));
        asio::write(socket, asio::buffer(std::string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n"}));
    }
    expect_alive();
    LONGS_EQUAL(1, handler.requests);
}

TEST(Server, SendsNoChunksToAnHttp10Caller)
{
    boost::system::error_code ended;
    const auto whole = receive_until_end("GET /stream HTTP/1.0\r\n\r\n", ended);
    CHECK_TRUE_TEXT(whole.ends_with("\r\n\r\npart"), whole.c_str());
    CHECK_TRUE(whole.find("chunked") == std::string::npos);
    CHECK_TRUE_TEXT(ended == asio::error::eof, ended.message().c_str());
}

TEST(Server, ResetsTheConnectionOfAnHttp10CallerWhoseResponseIsBrokenOff)
{
    boost::system::error_code ended;
    receive_until_end("GET /broken HTTP/1.0\r\n\r\n", ended);
    CHECK_TRUE_TEXT(ended == asio::error::connection_reset, ended.message().c_str());
}

// Guards against the refusal of the next request on each kept connection once limits are raised.
TEST(Server, AppliesNewLimitsToTheNextRequestOfAnIdleConnection)
{
    asio::io_context own;
    asio::ip::tcp::socket socket{own};
    socket.connect(*net::parse_address(address));
    asio::streambuf received;
    const auto post = [&](std::size_t header_bytes, std::size_t body_bytes) {
        asio::write(socket,
                    asio::buffer("POST / HTTP/1.1\r\nX-Long: " + std::string(header_bytes, 'h') +
                                 "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
                                 std::string(body_bytes, 'b')));
        const auto head_bytes = asio::read_until(socket, received, "\r\n\r\n");
        const std::string head{asio::buffers_begin(received.data()),
                               asio::buffers_begin(received.data()) +
                                   static_cast<std::ptrdiff_t>(head_bytes)};
        received.consume(head_bytes);
        if (head.find("200 OK") != std::string::npos && received.size() < body_bytes) {
            asio::read(socket, received, asio::transfer_exactly(body_bytes - received.size()));
        }
        received.consume(received.size());
        return head.substr(0, std::string{"HTTP/1.1 200"}.size());
    };
    STRCMP_EQUAL("HTTP/1.1 200", post(10, 900).c_str());
    std::this_thread::sleep_for(std::chrono::milliseconds{50}); // the connection is idle
    server_limits limits;
    limits.max_body_bytes = 5000;
    limits.max_header_bytes = 6000;
    limits.header_timeout = limits.body_timeout = std::chrono::milliseconds{300};
    tested->set_limits(limits);
    STRCMP_EQUAL("HTTP/1.1 200", post(4500, 4900).c_str());
    limits.max_body_bytes = 100;
    tested->set_limits(limits);
    STRCMP_EQUAL("HTTP/1.1 413", post(10, 200).c_str());
}

// Guards against responses that are never delivered because they are large, not unread.
TEST(Server, SendsAResponseThatIsLargerThanWhatASlowCallerMayLeave)
{
    server_limits limits;
    limits.max_body_bytes = limits.max_backlog_bytes = 1000;
    tested->set_limits(limits);
    boost::system::error_code ended;
    const auto received =
        receive_until_end("GET /large HTTP/1.1\r\nConnection: close\r\n\r\n", ended);
    CHECK_TRUE(received.size() > echo::large_bytes);
}

// Guards against the end of the process by what it keeps for callers that don't read.
TEST(Server, ClosesAConnectionWhenCallersThatDoNotReadLeaveTooMuchToKeep)
{
    asio::io_context callers;
    std::vector<asio::ip::tcp::socket> sockets;
    for (int i = 0; i < 2; ++i) {
        sockets.emplace_back(callers);
        sockets.back().connect(*net::parse_address(address));
        asio::write(sockets.back(), asio::buffer(std::string{"GET /large HTTP/1.1\r\n\r\n"}));
    }
    for (int i = 0; i < 100 && handler.last_rejection.load() == core::reason::none; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    CHECK_TRUE(handler.last_rejection.load() == core::reason::memory_limit);
    for (int i = 0; i < 100 && memory.total() > memory.limit(); ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    CHECK_TRUE(memory.total() <= memory.limit());
}

TEST(Server, RejectsTheHeaderOfAChunkThatIsTooLong)
{
    const auto answer = exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;" +
                                 std::string(5000, 'e'));
    CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 431"), answer.c_str());
    expect_alive();
}

TEST(Server, RejectsTrailersThatAreTooLong)
{
    const auto answer =
        exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: " +
                 std::string(5000, 't'));
    CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 431"), answer.c_str());
    expect_alive();
}

TEST(Server, ServesChunksWithExtensionsAndTrailers)
{
    const auto answer = exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "1;name=value\r\na\r\n1\r\nb\r\n0\r\nX-Trailer: value\r\n\r\n");
    CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 200"), answer.c_str());
}

// Guards against a request that is refused with a promise, and runs.
TEST(Server, RefusesARequestWithoutMemoryForItBeforeItsBodyComes)
{
    class unreleased final : public core::memory_holder {
        void release_memory() override {}
    } holder;
    core::memory_account kept{memory, holder};
    CHECK_TRUE(kept.reserve(memory.largest_message(), core::memory_use::awaited));
    server_limits limits;
    limits.max_body_bytes = memory.limit();
    tested->set_limits(limits);
    const auto answer = exchange("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n");
    CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 503"), answer.c_str());
    CHECK_TRUE_TEXT(answer.find("Retry-After: ") != std::string::npos, answer.c_str());
    LONGS_EQUAL(0, handler.requests);
    expect_alive();
}

TEST(Server, RejectsABodyThatNeverFindsMemory)
{
    server_limits limits;
    limits.max_body_bytes = 2 * memory.limit();
    tested->set_limits(limits);
    const auto answer = exchange(
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(memory.limit()) + "\r\n\r\n");
    CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 413"), answer.c_str());
}

TEST(Server, ForgetsWhatItKeptOnceConnectionsClose)
{
    exchange("POST / HTTP/1.1\r\nContent-Length: 900\r\nConnection: close\r\n\r\n" +
             std::string(900, 'b'));
    exchange("POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\nincomplete");
    for (int i = 0; i < 500 && memory.total() > 0; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    UNSIGNED_LONGS_EQUAL(0, memory.total());
}

// Guards against a caller that can't send its whole request, and so reads no answer.
TEST(Server, ReadsOnAfterItHasRefusedARequest)
{
    boost::system::error_code ended;
    constexpr std::size_t body_bytes = 4UL * 1024 * 1024;
    const auto answer =
        receive_until_end("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_bytes) +
                              "\r\n\r\n" + std::string(body_bytes, 'b'),
                          ended);
    CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 413"), answer.c_str());
    CHECK_TRUE_TEXT(ended == asio::error::eof, ended.message().c_str());
}

TEST(Server, ClosesTheConnectionThatHasWaitedLongestForANewOne)
{
    core::manual_clock time;
    core::connection_ledger connections{4, time};
    const auto limited_address = tests::unused_loopback_address();
    server limited{context, server_limits{}, handler,
                   server_resources{.memory = &memory, .connections = &connections}};
    std::string error;
    CHECK_TRUE_TEXT(limited.listen(limited_address, error), error.c_str());
    asio::io_context own;
    std::vector<asio::ip::tcp::socket> silent;
    const auto open = [&] {
        silent.emplace_back(own);
        silent.back().connect(*net::parse_address(limited_address));
        const auto before = connections.open();
        for (int i = 0; i < 50 && connections.open() <= before && before < 3; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
    };
    open();
    open();
    open();
    std::this_thread::sleep_for(std::chrono::milliseconds{50}); // until all of them wait
    time.advance(core::connection_ledger::patience);
    open();
    char byte = 0;
    boost::system::error_code closed;
    asio::read(silent.front(), asio::buffer(&byte, 1), closed);
    CHECK_TRUE(closed.failed());
    CHECK_TRUE(handler.last_rejection == core::reason::connection_limit);
    limited.stop_accepting();
    for (auto& socket : silent) {
        socket.close();
    }
    for (int i = 0; i < 500 && connections.open() > 0; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    UNSIGNED_LONGS_EQUAL(0, connections.open());
}

// Guards against a caller that ends the process with a long header field inside the limit.
TEST(Server, TakesAHeaderFieldOfAnyLengthWithinItsLimit)
{
    server_limits limits;
    limits.max_header_bytes = 200'000;
    tested->set_limits(limits);
    const std::string field = "X-Long: " + std::string(150'000, 'v') + "\r\n";
    const auto answer = exchange("GET / HTTP/1.1\r\n" + field + "Connection: close\r\n\r\n");
    CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 200"), answer.c_str());
    const auto refused = exchange("GET / HTTP/1.1\r\n" + field + field + "\r\n");
    CHECK_TRUE_TEXT(refused.starts_with("HTTP/1.1 431"), refused.c_str());
    expect_alive();
}

TEST(Server, TakesALongFieldOfATrailerAndDropsIt)
{
    server_limits limits;
    limits.max_header_bytes = 200'000;
    tested->set_limits(limits);
    const auto answer =
        exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                 "2\r\nhi\r\n0\r\nX-Long: " +
                 std::string(150'000, 'v') + "\r\n\r\n");
    CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 200"), answer.c_str());
    expect_alive();
}

TEST(Server, KeepsALimitThatDoesNotFitInto32Bits)
{
    server_limits limits;
    limits.max_header_bytes = std::size_t{1} << 32U;
    tested->set_limits(limits);
    expect_alive();
}
