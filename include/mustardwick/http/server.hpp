#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "mustardwick/base/metrics.hpp"
#include "mustardwick/http/message.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::http
{

/// @brief Certificate and key files in PEM format; empty means plain HTTP.
struct tls_files
{
    std::string certificate;
    std::string private_key;
};

struct server_options
{
    wire::endpoint listen;
    tls_files tls;
    int handler_threads = 128;
    /// Requests queued for a handler thread; further ones get 429 at once.
    int max_waiting_requests = 1024;
    int max_connections = 4096;
    std::uint32_t max_header_bytes = 8U << 10U;
    std::uint64_t max_body_bytes = 1U << 20U;
    /// Limit on the total announced body size of all requests in progress;
    /// requests that would exceed it get 429. A chunked body counts as
    /// max_body_bytes, because its size is not announced.
    std::uint64_t max_buffered_bytes = 32U << 20U;
    std::chrono::milliseconds read_timeout{10'000};
    std::chrono::milliseconds idle_timeout{60'000};
};

using handler = std::function<response(const request&)>;

/// @brief An HTTP/1.1 server with limits on size, time and concurrency.
///
/// Uses Boost.Beast, because cpprestsdk's listener has neither a read timeout
/// nor a limit on the size of a body before it is buffered.
class server
{
public:
    server(server_options options, handler handle, base::metrics& metrics);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// @brief Binds the address and starts the threads.
    ///
    /// Returns false and sets last_error() when the TLS files cannot be loaded
    /// or the address cannot be bound.
    bool start();

    /// @brief Stops accepting and waits for the requests in progress.
    ///
    /// Returns false when some were not answered within the grace period.
    bool stop(std::chrono::milliseconds grace);

    /// @brief Returns the port that the server listens on.
    std::uint16_t port() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mustardwick::http
