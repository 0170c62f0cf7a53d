#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/metrics.hpp"

namespace mustardwick::aio
{

/// @brief Bounds the memory that all connections of a process hold together,
/// and counts refusals.
///
/// Load pattern: a crowd of clients, each within the limits of one connection,
/// that together hold more than the host's memory. The connection that holds
/// most goes first, since ordinary requests hold little.
class connection_guard
{
public:
    using connection_id = std::uint64_t;
    /// Ends the connection; must not call the guard before it returns.
    using shed_handler = std::function<void()>;

    /// @param max_bytes limit on the bytes of requests that are being received
    connection_guard(const base::clock& time, base::metrics& metrics,
                     std::size_t max_bytes);

    connection_id add(shed_handler shed);
    void remove(connection_id id);

    /// @brief Sets how many bytes a connection holds, and sheds the ones that
    /// hold most while the sum exceeds the limit.
    void hold(connection_id id, std::size_t bytes);

    /// @brief Counts a refused request or connection by its cause; logs at most
    /// one line a second.
    void refused(std::string_view component, std::string_view cause);

    std::size_t held_bytes() const
    {
        return held_bytes_;
    }

private:
    struct connection
    {
        std::size_t bytes = 0;
        shed_handler shed;
    };

    void shed_largest();

    const base::clock& clock_;
    base::metrics& metrics_;
    std::size_t max_bytes_;
    std::size_t held_bytes_ = 0;
    connection_id last_id_ = 0;
    std::map<connection_id, connection> connections_;
    base::steady_time next_log_;
    std::uint64_t unlogged_ = 0;
};

} // namespace mustardwick::aio
