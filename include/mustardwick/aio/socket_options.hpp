#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>

namespace mustardwick::aio
{

/// Milliseconds after which unacknowledged bytes close a connection. Below
/// the shortest call timeout that matters for failover (1,500 ms).
inline constexpr unsigned user_timeout_ms = 1500;

/// @brief Disables Nagle's algorithm and bounds the wait for an
/// acknowledgement, so that a silent path is noticed.
inline void set_low_latency(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    // A socket without the option works; calls have deadlines of their own.
    const unsigned timeout = user_timeout_ms;
    (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                       &timeout, sizeof timeout);
}

} // namespace mustardwick::aio
