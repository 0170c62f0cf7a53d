#pragma once

#include <chrono>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/suspend_clock.hpp"

namespace mustardwick::entry
{

/// @brief Decides whether a leader may act on its last confirmation that it
/// still leads.
///
/// Load pattern: a host that is suspended for seconds while another daemon
/// takes over. Its steady clock stood still, so that a confirmation from before
/// looks recent; only one that was requested after the suspension counts.
class leader_authority
{
public:
    leader_authority(const base::clock& time,
                     const base::suspend_clock& suspensions,
                     std::chrono::milliseconds validity)
        : clock_(time), suspensions_(suspensions), validity_(validity),
          suspended_(suspensions.suspended())
    {
    }

    /// @brief Returns whether a confirmation that was requested at the given
    /// time still holds.
    bool is_valid(base::steady_time confirmed)
    {
        const auto now = clock_.now();
        const auto suspended = suspensions_.suspended();
        if (suspended - suspended_ > max_drift)
        {
            suspended_ = suspended;
            resumed_ = now;
        }
        return confirmed >= resumed_ && now - confirmed < validity_;
    }

private:
    /// The two clocks are read one after the other, and the process may be
    /// interrupted in between.
    static constexpr std::chrono::milliseconds max_drift{50};

    const base::clock& clock_;
    const base::suspend_clock& suspensions_;
    std::chrono::milliseconds validity_;
    std::chrono::nanoseconds suspended_;
    base::steady_time resumed_;
};

} // namespace mustardwick::entry
