// Addresses for tests that listen.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace siskindrift::tests {

/// Returns an address on which nothing listens now, so that tests of two checkouts don't meet.
inline std::string unused_loopback_address()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::endpoint any{boost::asio::ip::make_address("127.0.0.9"), 0};
    const boost::asio::ip::tcp::acceptor drawn{context, any};
    return "127.0.0.9:" + std::to_string(drawn.local_endpoint().port());
}

} // namespace siskindrift::tests
