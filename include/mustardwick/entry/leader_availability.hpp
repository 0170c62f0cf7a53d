#pragma once

#include <chrono>
#include <optional>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::entry
{

/// @brief Distinguishes a leader change, which completes quickly, from a cell
/// without a leader, where waiting only delays the error response.
///
/// Load pattern: the store is unavailable, no daemon can acquire leadership,
/// and every caller's request waits.
class leader_availability
{
public:
    /// @brief Records that the leader answered a call.
    void call_succeeded()
    {
        failing_since_.reset();
    }

    /// @brief Records that a call found no leader or got no answer.
    void call_failed(base::steady_time now)
    {
        if (!failing_since_ || now - last_failure_ >= failure_window)
            failing_since_ = now;
        last_failure_ = now;
    }

    /// @brief Returns whether calls have failed for longer than a leader change
    /// takes.
    bool is_missing(base::steady_time now) const
    {
        return failing_since_ && now - *failing_since_ > max_leader_change &&
               now - last_failure_ < failure_window;
    }

private:
    /// A failed leader is replaced after 0.4 to 1.3 s (docs/platform.md).
    static constexpr std::chrono::milliseconds max_leader_change{1500};
    /// Calls are retried every 60 ms. After a gap of this length, earlier
    /// failures no longer count.
    static constexpr std::chrono::milliseconds failure_window{500};

    std::optional<base::steady_time> failing_since_;
    base::steady_time last_failure_;
};

} // namespace mustardwick::entry
