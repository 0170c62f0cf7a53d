#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "mustardwick/base/metrics.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::http
{

/// @brief How far a failed call may have progressed.
enum class delivery
{
    /// No byte of the request has been sent.
    not_sent,
    /// The peer may have received and executed the request.
    maybe_sent,
    /// The request was sent a second time. An answer to the second copy does
    /// not show whether the first was executed.
    resent
};

/// @brief One HTTP request of the client.
struct client_call
{
    std::string method = "POST";
    std::string target = "/";
    std::string body;
    std::string authorization;
    std::chrono::milliseconds timeout{1000};
    /// Only idempotent calls use pooled connections. When a call fails on one,
    /// it is resent once over a new connection.
    bool idempotent = false;
};

/// @brief A complete HTTP response.
struct reply
{
    int status = 0;
    std::string body;
};

struct client_options
{
    std::chrono::milliseconds connect_timeout{500};
    std::size_t max_idle_per_peer = 16;
    std::uint64_t max_body_bytes = 8U << 20U;
    /// PEM file of the trusted certificate authorities; empty means plain HTTP.
    /// When set, all calls use TLS, and the peer's certificate must name its IP
    /// address.
    std::string ca_file;
};

/// @brief An HTTP/1.1 client that never resends a non-idempotent call.
///
/// Responses whose end is marked only by the end of the connection are
/// rejected, because a truncated one could not be distinguished from a complete
/// one.
class client
{
public:
    client(client_options options, base::metrics& metrics);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// @brief Sends a call and waits for the complete response.
    ///
    /// Fails with kind invalid_input when the CA file cannot be loaded, with
    /// kind unavailable when no connection can be opened, and with kind timeout
    /// when the request may have been executed but no valid response arrived.
    /// If progress is not null, it is set to how far the call progressed.
    std::optional<reply> send(const wire::endpoint& peer,
                              const client_call& call,
                              delivery* progress = nullptr);

    /// @brief Total bytes written and read, to account for control traffic.
    std::uint64_t bytes_transferred() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mustardwick::http
