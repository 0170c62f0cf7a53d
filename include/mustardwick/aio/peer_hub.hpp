#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "mustardwick/aio/connection_guard.hpp"
#include "mustardwick/wire/endpoint.hpp"
#include "mustardwick/wire/frame.hpp"

namespace mustardwick::aio
{

/// @brief Why a call to another daemon has no answer.
enum class peer_failure
{
    none,
    /// No process listens at the address.
    connection_refused,
    /// The connection could not be opened in time or has ended.
    connection_lost,
    timed_out,
    /// The peer answered that it failed.
    failed
};

std::string_view to_string(peer_failure failure);

/// @brief Outcome of a call to another daemon.
struct peer_result
{
    peer_failure failure = peer_failure::none;
    std::string payload;

    bool answered() const
    {
        return failure == peer_failure::none;
    }

    bool connection_refused() const
    {
        return failure == peer_failure::connection_refused;
    }
};

using peer_callback = std::function<void(peer_result)>;
using peer_responder = std::function<void(std::string)>;
using peer_handler =
    std::function<void(wire::message_type, std::string, peer_responder)>;

/// @brief Limits on the connections that other processes open.
struct peer_limits
{
    /// Beyond it, a new connection takes the place of one whose peer has not
    /// authenticated itself, or is closed.
    std::size_t max_incoming = 1024;
    /// Time from accepting a connection to its first authenticated frame. A
    /// daemon connects only when it has a frame to send.
    std::chrono::milliseconds authentication_timeout{3000};
};

/// @brief Calls between daemons over one multiplexed TCP connection per peer.
///
/// Frames carry cereal payloads and an authentication tag. When a call times
/// out and its connection has received nothing since the call was sent, the hub
/// closes the connection and fails all calls that are pending on it.
class peer_hub
{
public:
    peer_hub(boost::asio::io_context& io, wire::endpoint listen,
             std::string secret, connection_guard& guard, peer_handler handle,
             peer_limits limits = {});
    ~peer_hub();
    peer_hub(const peer_hub&) = delete;
    peer_hub& operator=(const peer_hub&) = delete;

    /// @brief Binds the address and starts accepting. Returns false, with
    /// base::last_error(), when it cannot listen.
    bool start();

    /// @brief Sends a call. The callback runs exactly once, unless the hub is
    /// stopped first.
    void call(const wire::endpoint& peer, wire::message_type type,
              std::string payload, std::chrono::milliseconds timeout,
              peer_callback done);

    /// @brief Stops accepting and closes all connections.
    void stop();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mustardwick::aio
