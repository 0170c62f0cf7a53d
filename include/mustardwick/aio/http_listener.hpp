#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "mustardwick/aio/connection_guard.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::aio
{

/// @brief A completely received request.
struct incoming_request
{
    std::string method;
    std::string target;
    std::string host;
    std::string authorization;
    std::string body;
    /// Time that the caller waits for the answer, in milliseconds in the
    /// deadline header; std::nullopt when the header is absent or invalid.
    std::optional<std::chrono::milliseconds> deadline;
    std::chrono::steady_clock::time_point received;
    /// Time for which its last bytes had been in the socket's buffer when they
    /// were read; 0 where the system does not tell.
    std::chrono::milliseconds unread{0};
};

struct outgoing_response
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::optional<std::chrono::milliseconds> retry_after;
};

using responder = std::function<void(outgoing_response)>;
using request_handler = std::function<void(incoming_request, responder)>;

/// @brief Limits on the connections and requests of a listener.
struct listener_limits
{
    std::uint32_t max_header_bytes = 16U << 10U;
    std::uint64_t max_body_bytes = 256U << 10U;
    /// Timeout for receiving a whole request, header and body, from its first
    /// byte.
    std::chrono::milliseconds header_timeout{3000};
    /// Time without a request after which a connection is closed.
    std::chrono::milliseconds idle_timeout{15'000};
    /// Beyond it, a new connection takes the place of the one that has been
    /// idle for longest, or is refused with 503 when none is idle.
    std::size_t max_connections = 2048;
};

/// @brief An asynchronous HTTP/1.1 server on one address.
///
/// Handlers answer through a callback at any later time, so that a request that
/// waits for another daemon does not block a thread. A request that exceeds a
/// limit is refused before any part of it is handled.
class http_listener
{
public:
    http_listener(boost::asio::io_context& io, wire::endpoint address,
                  std::string deadline_header, connection_guard& guard,
                  request_handler handle);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// @brief Binds the address and starts accepting. Returns false, with
    /// base::last_error(), when it cannot listen.
    bool start();

    /// @brief Sets the limits for requests that are read from now on.
    void set_limits(const listener_limits& limits);

    /// @brief Makes every later answer close its connection.
    void begin_drain();

    /// @brief Accepts the connections that are already established, stops
    /// accepting, and closes idle connections.
    ///
    /// A connection with a request that is not read yet is not idle, and
    /// neither is a new one before its first request may have arrived.
    void close_idle();

    /// @brief Returns whether all connections are closed.
    bool is_closed() const;

    /// @brief Returns the number of requests received and not yet answered.
    std::size_t open_requests() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mustardwick::aio
