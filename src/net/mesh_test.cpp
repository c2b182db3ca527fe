#include "siskindrift/net/mesh.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <condition_variable>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <vector>

#include "siskindrift/wire/frame.h"
#include "tests/loopback.h"

#include <CppUTest/TestHarness.h>

using namespace siskindrift;
using namespace siskindrift::net;
namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds wait_timeout{5};

class recorder final : public mesh_handler {
public:
    void on_message(connection_id from, wire::envelope_t) override
    {
        note([this, from] {
            ++messages;
            last_from = from;
        });
    }
    void on_connection_state(const std::string&, bool up) override
    {
        note([this, up] { ++(up ? ups : downs); });
    }
    void on_bad_frame(core::reason why) override
    {
        note([this, why] { last_bad = why; });
    }
    void on_connection_refused(core::reason why) override
    {
        note([this, why] { last_refusal = why; });
    }

    template <class Condition>
    bool wait(Condition condition)
    {
        std::unique_lock lock{mutex};
        return changed.wait_for(lock, wait_timeout, condition);
    }

    std::mutex mutex;
    std::condition_variable changed;
    int messages = 0;
    connection_id last_from = 0;
    int ups = 0;
    int downs = 0;
    core::reason last_bad = core::reason::none;
    core::reason last_refusal = core::reason::none;

private:
    template <class Change>
    void note(Change change)
    {
        const std::lock_guard lock{mutex};
        change();
        changed.notify_all();
    }
};

} // namespace

TEST_GROUP(Mesh)
{
    const std::string address = tests::unused_loopback_address();
    asio::io_context context;
    recorder events;
    std::shared_ptr<mesh> server;
    std::shared_ptr<mesh> client;
    std::thread worker;

    void setup() override
    {
        server = std::make_shared<mesh>(context, mesh_options{}, events);
        client = std::make_shared<mesh>(context, mesh_options{}, events);
        std::string error;
        CHECK_TRUE_TEXT(server->listen(address, error), error.c_str());
        worker = std::thread{[this] {
            const auto guard = asio::make_work_guard(context);
            context.run();
        }};
    }
    void teardown() override
    {
        server->stop();
        client->stop();
        context.stop();
        worker.join();
    }

    void expect_alive()
    {
        int before = 0;
        {
            const std::lock_guard lock{events.mutex};
            before = events.messages;
        }
        client->send(address, wire::make_envelope(wire::explain_query_t{}));
        CHECK_TRUE(events.wait([&] { return events.messages > before; }));
    }

    // Sends raw bytes and returns once the server has closed the connection.
    void send_raw(const std::string& bytes)
    {
        asio::io_context own;
        asio::ip::tcp::socket socket{own};
        socket.connect(*parse_address(address));
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        char byte = 0;
        asio::read(socket, asio::buffer(&byte, 1), ignored);
    }
};

TEST(Mesh, DeliversMessages)
{
    expect_alive();
}

TEST(Mesh, ClosesOnlyTheConnectionWithAnUnknownVersion)
{
    expect_alive();
    auto frame = wire::encode_frame(wire::make_envelope(wire::explain_query_t{}));
    frame[4] = 77;
    send_raw(frame);
    CHECK_TRUE(events.wait([&] { return events.last_bad == core::reason::unknown_version; }));
    expect_alive();
}

TEST(Mesh, ClosesOnlyTheConnectionThatSendsGarbage)
{
    expect_alive();
    send_raw(std::string(64, '\xEE'));
    CHECK_TRUE(events.wait([&] { return events.last_bad != core::reason::none; }));
    expect_alive();
}

TEST(Mesh, ReportsAPeerThatAcceptsButNeverAnswers)
{
    asio::io_context silent_context;
    const auto silent_address = tests::unused_loopback_address();
    asio::ip::tcp::acceptor silent{silent_context, *parse_address(silent_address)};
    client->keep_connected(silent_address);
    CHECK_TRUE(events.wait([&] { return events.ups > 0; }));
    CHECK_TRUE_TEXT(events.wait([&] { return events.downs > 0; }),
                    "the missing heartbeats were not detected");
    client->release(silent_address);
}

TEST(Mesh, ReportsQueuedBytesForAPeerThatDoesNotRead)
{
    asio::io_context slow_context;
    asio::ip::tcp::socket slow{slow_context};
    slow.connect(*parse_address(address));
    const auto frame = wire::encode_frame(wire::make_envelope(wire::explain_query_t{}));
    asio::write(slow, asio::buffer(frame));
    CHECK_TRUE(events.wait([&] { return events.messages > 0; }));
    UNSIGNED_LONGS_EQUAL(0, server->queued_bytes(events.last_from));
    wire::document_page_t page;
    // more than the kernel's socket buffers hold
    page.content.assign(std::size_t{32} * 1024 * 1024, 'x');
    server->reply(events.last_from, wire::make_envelope(std::move(page)));
    const auto until = std::chrono::steady_clock::now() + wait_timeout;
    while (server->queued_bytes(events.last_from) == 0 &&
           std::chrono::steady_clock::now() < until) {
        std::this_thread::yield();
    }
    CHECK_TRUE(server->queued_bytes(events.last_from) > 1'000'000);
    slow.close();
}

TEST(Mesh, OutlivesAStopBehindAWriteThatSucceeded)
{
    expect_alive();
    // Runs on the worker, so that the stop is queued between a successful write and its completion.
    // The completion must not use the queue that the stop cleared.
    std::atomic<bool> done{false};
    asio::post(context, [&] {
        const auto frame = wire::make_envelope(wire::explain_query_t{});
        client->send(address, frame);
        client->send(address, frame);
        client->stop();
        asio::post(context, [&] { done = true; });
    });
    CHECK_TRUE(events.wait([&] { return events.downs > 0; }));
    while (!done) {
        std::this_thread::yield();
    }
    client = std::make_shared<mesh>(context, mesh_options{}, events);
    expect_alive();
}

// An accepted connection may receive a message on another thread before it has begun.
TEST(Mesh, AnswersOnceWhatArrivesWhileAConnectionIsAccepted)
{
    constexpr int client_count = 8;
    constexpr int connections_each = 1500;
    std::vector<std::thread> threads;
    for (int i = 0; i < 3; ++i) {
        threads.emplace_back([this] { context.run(); });
    }
    const auto heartbeat = wire::encode_frame(wire::make_envelope(wire::heartbeat_t{}));
    wire::heartbeat_t echo;
    echo.echo = true;
    const auto expected = wire::encode_frame(wire::make_envelope(echo));
    std::atomic<int> wrong{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < client_count; ++i) {
        clients.emplace_back([&] {
            for (int n = 0; n < connections_each; ++n) {
                asio::io_context own;
                asio::ip::tcp::socket socket{own};
                boost::system::error_code error;
                socket.connect(*parse_address(address), error);
                asio::write(socket, asio::buffer(heartbeat), error);
                std::string answer(expected.size(), '\0');
                asio::read(socket, asio::buffer(answer), error);
                wrong += error || answer != expected || socket.available(error) > 0 ? 1 : 0;
            }
        });
    }
    for (auto& one : clients) {
        one.join();
    }
    context.stop();
    for (auto& one : threads) {
        one.join();
    }
    LONGS_EQUAL(0, wrong.load());
}

TEST(Mesh, RejectsInvalidAddresses)
{
    CHECK_FALSE(parse_address("localhost").has_value());
    CHECK_FALSE(parse_address("127.0.0.1:").has_value());
    CHECK_FALSE(parse_address("127.0.0.1:99999").has_value());
    CHECK_FALSE(parse_address("127.0.0.1:80x").has_value());
}

TEST(Mesh, DetectsADeadPeerByTheTimeoutThatItSetsNotByTheNumberOfProbes)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket{context, boost::asio::ip::tcp::v4()};
    const auto option = [&](int level, int name) {
        int value = -1;
        socklen_t size = sizeof value;
        CHECK_EQUAL(0, ::getsockopt(socket.native_handle(), level, name, &value, &size));
        return value;
    };
    LONGS_EQUAL(0, option(IPPROTO_TCP, TCP_USER_TIMEOUT)); // the library sets none
    net::detect_dead_peer(socket, core::milliseconds{4000});
    LONGS_EQUAL(4000, option(IPPROTO_TCP, TCP_USER_TIMEOUT));
    LONGS_EQUAL(1, option(SOL_SOCKET, SO_KEEPALIVE));
    LONGS_EQUAL(2, option(IPPROTO_TCP, TCP_KEEPIDLE));
    LONGS_EQUAL(1, option(IPPROTO_TCP, TCP_KEEPINTVL));
}

// Guards against the end of the process by frames that are announced and never come.
TEST(Mesh, TakesNoMemoryForWhatAFrameAnnounces)
{
    core::memory_ledger memory;
    mesh_options options;
    options.memory = &memory;
    const auto limited_address = tests::unused_loopback_address();
    const auto limited = std::make_shared<mesh>(context, options, events);
    std::string error;
    CHECK_TRUE_TEXT(limited->listen(limited_address, error), error.c_str());
    auto frame = wire::encode_frame(wire::make_envelope(wire::explain_query_t{}));
    constexpr std::size_t length_byte = 2; // of 65536 bytes
    frame[length_byte] = '\x80';           // 8 MiB
    asio::io_context own;
    asio::ip::tcp::socket socket{own};
    socket.connect(*parse_address(limited_address));
    asio::write(socket, asio::buffer(frame));
    for (int i = 0; i < 100 && memory.total() < frame.size(); ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    constexpr std::size_t few_bytes = 256UL * 1024;
    CHECK_TRUE(memory.total() > 0);
    CHECK_TRUE(memory.total() < few_bytes);
    limited->stop();
    for (int i = 0; i < 500 && memory.total() > 0; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    UNSIGNED_LONGS_EQUAL(0, memory.total());
}

TEST(Mesh, ClosesAConnectionWhoseMessageFindsNoMemory)
{
    constexpr std::size_t limit_bytes = 1024UL * 1024;
    core::memory_ledger memory{limit_bytes};
    mesh_options options;
    options.memory = &memory;
    const auto limited_address = tests::unused_loopback_address();
    const auto limited = std::make_shared<mesh>(context, options, events);
    std::string error;
    CHECK_TRUE_TEXT(limited->listen(limited_address, error), error.c_str());
    auto frame = wire::encode_frame(wire::make_envelope(wire::explain_query_t{}));
    constexpr std::size_t length_byte = 2; // of 65536 bytes
    frame[length_byte] = '\x80';           // 8 MiB
    frame += std::string(2 * limit_bytes, 'x');
    asio::io_context own;
    asio::ip::tcp::socket socket{own};
    socket.connect(*parse_address(limited_address));
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(frame), ignored);
    CHECK_TRUE(events.wait([&] { return events.last_refusal == core::reason::memory_limit; }));
    limited->stop();
    for (int i = 0; i < 500 && memory.total() > 0; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    UNSIGNED_LONGS_EQUAL(0, memory.total());
}
