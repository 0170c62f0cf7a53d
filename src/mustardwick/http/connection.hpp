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

/// Bytes transferred by all connections of a client.
struct traffic
{
    std::atomic<std::uint64_t> bytes{0};
};

/// One client connection with its own event loop, so that each operation can
/// have a deadline. An operation that misses it closes the connection.
class connection
{
public:
    virtual ~connection() = default;

    virtual bool open(const wire::endpoint& peer, deadline limit) = 0;

    virtual bool write(wire_request& message, deadline limit) = 0;

    /// Reads one complete response; sets keep_alive when the connection can be
    /// reused.
    virtual std::optional<reply> read(const client_options& options,
                                      bool without_body, deadline limit,
                                      bool& keep_alive) = 0;

    /// Returns false when the peer has closed this idle connection or sent
    /// unsolicited bytes on it.
    virtual bool is_usable() = 0;
};

std::unique_ptr<connection> make_plain_connection(traffic& counter);

/// Creates a connection that verifies the peer's certificate, which must name
/// its IP address.
std::unique_ptr<connection>
make_tls_connection(traffic& counter, boost::asio::ssl::context& context);

} // namespace mustardwick::http
