#include "ctl_client.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "siskindrift/net/mesh.h"
#include "siskindrift/wire/frame.h"

namespace siskindrift::apps {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds answer_limit{3000};
constexpr std::chrono::milliseconds retry_pause{200};
constexpr int attempts = 60; // a replica may restart and an election may follow

void pause()
{
    asio::io_context context;
    asio::steady_timer timer{context, retry_pause};
    timer.wait();
}

} // namespace

std::optional<wire::envelope_t> ask(const std::string& address, const wire::envelope_t& message,
                                    core::error_message& why)
{
    const auto endpoint = net::parse_address(address);
    if (!endpoint) {
        why.set("not an IP:port address: " + address);
        return std::nullopt;
    }
    asio::io_context context;
    tcp::socket socket{context};
    boost::system::error_code result = asio::error::timed_out;
    const auto frame = wire::encode_frame(message);
    std::array<char, wire::frame_header_bytes> header{};
    std::string payload;
    const auto keep = [&](boost::system::error_code error) { result = error; };
    socket.async_connect(*endpoint, [&](boost::system::error_code failed) {
        if (failed) {
            keep(failed);
            return;
        }
        asio::async_write(
            socket, asio::buffer(frame), [&](boost::system::error_code error, std::size_t) {
                if (error) {
                    keep(error);
                    return;
                }
                asio::async_read(
                    socket, asio::buffer(header),
                    [&](boost::system::error_code broken, std::size_t) {
                        core::reason code = core::reason::none;
                        const auto read = wire::decode_header({header.data(), header.size()}, code);
                        if (broken || !read) {
                            keep(broken ? broken : asio::error::invalid_argument);
                            return;
                        }
                        payload.resize(read->length);
                        asio::async_read(
                            socket, asio::buffer(payload),
                            [&](boost::system::error_code last, std::size_t) { keep(last); });
                    });
            });
    });
    context.run_for(answer_limit);
    if (result) {
        why.set(address + ": " + result.message());
        return std::nullopt;
    }
    auto answer = wire::decode_payload(payload);
    if (!answer) {
        why.set(address + ": malformed answer");
    }
    return answer;
}

std::optional<wire::control_reply_t> control_connection::put_to(const std::string& address,
                                                                wire::control_request_t request,
                                                                core::error_message& why)
{
    request.id = 1;
    request.token = m_token;
    const auto answer = ask(address, wire::make_envelope(std::move(request)), why);
    if (!answer) {
        return std::nullopt;
    }
    const auto* reply = answer->body.Ascontrol_reply();
    if (reply == nullptr) {
        why.set(address + ": unexpected answer");
        return std::nullopt;
    }
    return *reply;
}

std::optional<wire::control_reply_t> control_connection::put(wire::control_request_t request,
                                                             core::error_message& why)
{
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const auto& next = m_addresses[static_cast<std::size_t>(attempt) % m_addresses.size()];
        const auto address = m_leader.empty() ? next : m_leader;
        const auto reply = put_to(address, request, why);
        if (reply && reply->outcome == wire::control_outcome::not_leader) {
            m_leader = reply->leader_address;
            why.set("no leader");
            if (m_leader.empty()) {
                pause();
            }
            continue;
        }
        if (reply && reply->outcome != wire::control_outcome::unavailable) {
            return reply;
        }
        if (reply) {
            why.set(reply->detail);
        }
        m_leader.clear();
        pause();
    }
    return std::nullopt;
}

} // namespace siskindrift::apps
