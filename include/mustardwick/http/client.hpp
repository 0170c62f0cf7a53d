#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "mustardwick/base/metrics.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::http
{

/// @brief How far a call that failed may have come.
enum class delivery
{
    /// No byte of the request has left.
    not_sent,
    /// The peer may have read and run the request.
    maybe_sent
};

struct client_call
{
    std::string method = "POST";
    std::string target = "/";
    std::string body;
    std::string authorization;
    std::chrono::milliseconds timeout{1000};
    /// Only an idempotent call uses pooled connections and is sent again when
    /// a pooled connection turns out to be dead.
    bool idempotent = false;
};

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
    /// PEM file of the trusted authorities; empty means plain HTTP. With it
    /// all calls use TLS, and a certificate has to name the peer's IP address.
    std::string ca_file;
};

/// @brief An HTTP/1.1 client that never resends a call that is not idempotent.
///
/// Answers that end only with the connection are refused, because a cut cannot
/// be told from their end.
class client
{
public:
    client(client_options options, base::metrics& metrics);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// @brief Sends a call and waits for the whole answer.
    std::optional<reply> send(const wire::endpoint& peer,
                              const client_call& call,
                              delivery* progress = nullptr);

    /// @brief Bytes written and read so far, for control-cost accounting.
    std::uint64_t bytes_transferred() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mustardwick::http
