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

constexpr std::chrono::milliseconds request_timeout{3000};
constexpr std::chrono::milliseconds retry_interval{200};
constexpr int max_attempts = 60; // long enough for a replica's restart and an election

void wait_before_retry()
{
    asio::io_context context;
    asio::steady_timer timer{context, retry_interval};
    timer.wait();
}

} // namespace

std::optional<wire::envelope_t> send_request(const std::string& address,
                                             const wire::envelope_t& message,
                                             core::error_message& error)
{
    const auto endpoint = net::parse_address(address);
    if (!endpoint) {
        error.set("not an IP:port address: " + address);
        return std::nullopt;
    }
    asio::io_context context;
    tcp::socket socket{context};
    boost::system::error_code result = asio::error::timed_out;
    const auto frame = wire::encode_frame(message);
    std::array<char, wire::frame_header_bytes> header{};
    std::string payload;
    const auto set_result = [&](boost::system::error_code code) { result = code; };
    socket.async_connect(*endpoint, [&](boost::system::error_code connect_error) {
        if (connect_error) {
            set_result(connect_error);
            return;
        }
        asio::async_write(
            socket, asio::buffer(frame), [&](boost::system::error_code write_error, std::size_t) {
                if (write_error) {
                    set_result(write_error);
                    return;
                }
                asio::async_read(
                    socket, asio::buffer(header),
                    [&](boost::system::error_code read_error, std::size_t) {
                        core::reason header_error = core::reason::none;
                        const auto frame_header =
                            wire::decode_header({header.data(), header.size()}, header_error);
                        if (read_error || !frame_header) {
                            set_result(read_error ? read_error : asio::error::invalid_argument);
                            return;
                        }
                        payload.resize(frame_header->length);
                        asio::async_read(socket, asio::buffer(payload),
                                         [&](boost::system::error_code payload_error, std::size_t) {
                                             set_result(payload_error);
                                         });
                    });
            });
    });
    context.run_for(request_timeout);
    if (result) {
        error.set(address + ": " + result.message());
        return std::nullopt;
    }
    auto response = wire::decode_payload(payload);
    if (!response) {
        error.set(address + ": malformed response");
    }
    return response;
}

std::optional<wire::control_reply_t> control_client::send_to(const std::string& address,
                                                             wire::control_request_t request,
                                                             core::error_message& error)
{
    request.id = 1;
    request.token = m_token;
    const auto response = send_request(address, wire::make_envelope(std::move(request)), error);
    if (!response) {
        return std::nullopt;
    }
    const auto* reply = response->body.Ascontrol_reply();
    if (reply == nullptr) {
        error.set(address + ": unexpected response");
        return std::nullopt;
    }
    return *reply;
}

std::optional<wire::control_reply_t> control_client::send_to_leader(wire::control_request_t request,
                                                                    core::error_message& error)
{
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        const auto& next_address =
            m_addresses[static_cast<std::size_t>(attempt) % m_addresses.size()];
        const auto address = m_leader_address.empty() ? next_address : m_leader_address;
        const auto reply = send_to(address, request, error);
        if (reply && reply->outcome == wire::control_outcome::not_leader) {
            m_leader_address = reply->leader_address;
            error.set("no control replica is the leader");
            if (m_leader_address.empty()) {
                wait_before_retry();
            }
            continue;
        }
        if (reply && reply->outcome != wire::control_outcome::unavailable) {
            return reply;
        }
        if (reply) {
            error.set(reply->detail);
        }
        m_leader_address.clear();
        wait_before_retry();
    }
    return std::nullopt;
}

} // namespace siskindrift::apps
