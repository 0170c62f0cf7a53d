#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::entry
{

/// @brief Says how recently the store has answered a member, for the leader
/// that may hand its duty over.
///
/// Load pattern: a part of the store is down. Its other parts answer all
/// daemons, but none could take the duty, whose row is in the part that is
/// down.
class store_reachability
{
public:
    /// @brief The part that holds the head row has answered.
    void partition_answered(base::steady_time now)
    {
        partition_answered_ = now;
    }

    /// @brief Milliseconds since the last answer that says whether this member
    /// could lead; -1 for never.
    ///
    /// @param leader_fails the part does not answer the leader, so that answers
    /// of other parts say nothing
    /// @param any when any part has answered; the epoch for never
    std::int64_t age_ms(bool leader_failing, base::steady_time any,
                        base::steady_time now) const
    {
        const auto last = leader_failing ? partition_answered_ : any;
        if (last == base::steady_time{})
            return -1;
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - last)
            .count();
    }

private:
    base::steady_time partition_answered_;
};

} // namespace mustardwick::entry
