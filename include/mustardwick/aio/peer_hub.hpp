#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "mustardwick/wire/endpoint.hpp"
#include "mustardwick/wire/frame.hpp"

namespace mustardwick::aio
{

/// @brief Outcome of a call to another daemon.
struct peer_result
{
    /// The peer sent an answer, and not a failure.
    bool answered = false;
    /// The connection was refused: no process listens at the address.
    bool connection_refused = false;
    std::string payload;
};

using peer_callback = std::function<void(peer_result)>;
using peer_responder = std::function<void(std::string)>;
using peer_handler =
    std::function<void(wire::message_type, std::string, peer_responder)>;

/// @brief Calls between daemons over one multiplexed TCP connection per peer.
///
/// Frames carry cereal payloads and an authentication tag. When a call times
/// out and its connection has received nothing since the call was sent, the hub
/// closes the connection and fails all calls that are pending on it.
class peer_hub
{
public:
    peer_hub(boost::asio::io_context& io, wire::endpoint listen,
             std::string secret, peer_handler handle);
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
