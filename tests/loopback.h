// Loopback addresses for tests that open a listening socket.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace siskindrift::tests {

/// Returns a `host:port` address whose port is currently unused, so that tests of two checkouts
/// can run at the same time. Another process may still bind the port before the caller does.
/// @throws boost::system::system_error when no port can be bound.
inline std::string unused_loopback_address()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::endpoint any{boost::asio::ip::make_address("127.0.0.9"), 0};
    const boost::asio::ip::tcp::acceptor acceptor{context, any};
    return "127.0.0.9:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace siskindrift::tests
