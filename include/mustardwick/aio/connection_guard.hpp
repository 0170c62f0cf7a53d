#pragma once

#include <chrono>
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

/// @brief A connection that the process closed itself.
struct closed_connection
{
    std::string_view cause;
    /// Time since the connection was accepted.
    std::chrono::milliseconds age;
    /// Bytes that had arrived and belong to no answered request.
    std::size_t unread_bytes = 0;
    /// A request was received, in part or completely, and not answered.
    bool is_request_open = false;
};

/// @brief Bounds the memory that all connections of a process hold together,
/// and counts refusals and closed connections.
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
    /// Closed connections that are logged in a second.
    static constexpr int max_logged_closes = 10;

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

    /// @brief Counts a closed connection by its cause. Logs it, within
    /// max_logged_closes, when its caller could still expect an answer.
    void closed(std::string_view component, const closed_connection& it);

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
    base::steady_time next_close_log_;
    int logged_closes_ = 0;
    std::uint64_t omitted_closes_ = 0;
};

} // namespace mustardwick::aio
