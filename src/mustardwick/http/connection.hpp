#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

#include <boost/asio/ssl/context.hpp>

#include "conversion.hpp"
#include "mustardwick/http/client.hpp"

namespace mustardwick::http
{

using deadline = std::chrono::steady_clock::time_point;

struct traffic
{
    std::atomic<std::uint64_t> bytes{0};
};

/// One client connection with its own event loop, so that each step has a
/// deadline. A connection that missed one is closed.
class connection
{
public:
    virtual ~connection() = default;

    virtual bool open(const wire::endpoint& peer, deadline limit) = 0;

    virtual bool write(wire_request& message, deadline limit) = 0;

    /// Reads one whole answer; sets keep when the connection can be reused.
    virtual std::optional<reply> read(const client_options& options,
                                      bool without_body, deadline limit,
                                      bool& keep_alive) = 0;

    /// Tells whether the peer closed an idle connection or sent unasked bytes.
    virtual bool is_usable() = 0;
};

std::unique_ptr<connection> make_plain_connection(traffic& counter);

/// Verifies that the certificate names the peer's IP address.
std::unique_ptr<connection>
make_tls_connection(traffic& counter, boost::asio::ssl::context& context);

} // namespace mustardwick::http
