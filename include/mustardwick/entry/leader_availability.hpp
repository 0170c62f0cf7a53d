#pragma once

#include <chrono>
#include <optional>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::entry
{

/// @brief Tells a change of leaders, which is over soon, from a cell without a
/// leader, where waiting would only hold callers up.
///
/// Load pattern: every caller's request waits while the store keeps all daemons
/// from the duty.
class leader_availability
{
public:
    /// @brief The leader has answered a call.
    void call_succeeded()
    {
        failing_since_.reset();
    }

    /// @brief A call found no leader or got no answer.
    void call_failed(base::steady_time now)
    {
        if (!failing_since_ || now - last_failure_ >= failure_window)
            failing_since_ = now;
        last_failure_ = now;
    }

    /// @brief Calls have failed for longer than a change of leaders takes.
    bool is_missing(base::steady_time now) const
    {
        return failing_since_ && now - *failing_since_ > max_leader_change &&
               now - last_failure_ < failure_window;
    }

private:
    /// A lost leader is replaced after 0.1 to 1.3 s (docs/platform.md).
    static constexpr std::chrono::milliseconds max_leader_change{1500};
    /// Calls are repeated every 60 ms; after a longer pause a call finds out
    /// anew whether there is a leader.
    static constexpr std::chrono::milliseconds failure_window{500};

    std::optional<base::steady_time> failing_since_;
    base::steady_time last_failure_;
};

} // namespace mustardwick::entry
