#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "mustardwick/base/metrics.hpp"
#include "mustardwick/wire/codec.hpp"
#include "mustardwick/wire/endpoint.hpp"
#include "mustardwick/wire/frame.hpp"
#include "mustardwick/wire/messages.hpp"

namespace mustardwick::wire
{

/// @brief Handles one internal call and returns the payload of the answer.
///
/// std::nullopt answers with last_error() as a failure.
using rpc_handler =
    std::function<std::optional<std::string>(message_type, const std::string&)>;

struct rpc_server_options
{
    endpoint listen;
    std::string secret;
    int handler_threads = 32;
    /// Calls that may wait for a handler thread; further calls are refused with
    /// kind overloaded.
    int max_waiting_calls = 1024;
    int max_connections = 512;
    /// Limit on the total size of the frames being received on all connections;
    /// frames of up to 16 KiB are not counted.
    std::size_t max_buffered_bytes = 32U << 20U;
    /// Timeout for receiving a frame, for the first frame of a connection and
    /// for the peer to read an answer.
    std::chrono::milliseconds frame_timeout{5000};
};

/// @brief Serves internal calls over TCP.
class rpc_server
{
public:
    rpc_server(rpc_server_options options, rpc_handler handler,
               base::metrics& metrics);
    ~rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

    /// @brief Binds the address and starts the threads. Returns false, with
    /// last_error(), when it cannot listen.
    bool start();

    /// @brief Stops accepting connections, waits for the calls being handled
    /// and closes all connections.
    void stop();

    /// @brief Returns the bound port, also when the options specify port 0.
    std::uint16_t port() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

/// @brief Whether any byte of a failed call may have been sent.
enum class call_progress
{
    not_sent,
    maybe_sent,
    /// The call was sent a second time. An answer to the second copy does not
    /// show whether the first was executed.
    resent
};

struct rpc_client_options
{
    std::string secret;
    std::chrono::milliseconds connect_timeout{500};
    std::size_t max_idle_per_peer = 32;
};

/// @brief Calls other daemons over pooled TCP connections.
///
/// A connection carries one call at a time with increasing correlation ids, and
/// an answer must have the correlation id of its call. A connection without a
/// valid answer before the deadline is closed, not reused. Thread-safe.
class rpc_client
{
public:
    rpc_client(rpc_client_options options, base::metrics& metrics);
    ~rpc_client();
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;

    /// @brief Sends a call and waits for its answer.
    ///
    /// An idempotent call whose pooled connection fails is retried once on a
    /// new connection within the same deadline; any other call is sent once.
    ///
    /// Returns std::nullopt with last_error(): unavailable when no connection
    /// could be made, timeout when no valid answer arrived (also when the
    /// connection failed before the deadline), otherwise the error that the
    /// peer answered. progress, when given, is set to whether any byte may
    /// have been sent.
    std::optional<std::string> call(const endpoint& peer, message_type type,
                                    const std::string& payload,
                                    std::chrono::milliseconds timeout,
                                    bool idempotent,
                                    call_progress* progress = nullptr);

    /// @brief Sends a typed message and decodes the typed answer.
    template <typename Answer, typename Message>
    std::optional<Answer>
    call(const endpoint& peer, message_type type, const Message& message,
         std::chrono::milliseconds timeout, bool idempotent,
         call_progress* progress = nullptr)
    {
        const auto bytes =
            call(peer, type, encode(message), timeout, idempotent, progress);
        if (!bytes)
            return std::nullopt;
        return decode<Answer>(*bytes);
    }

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mustardwick::wire
