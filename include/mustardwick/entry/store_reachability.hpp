#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::entry
{

/// @brief Tracks how recently the store answered a member. A leader uses it to
/// select a successor.
///
/// Load pattern: one partition of the store is down. The other partitions
/// answer all daemons, but none of these could acquire leadership, because the
/// head row is in the partition that is down.
class store_reachability
{
public:
    /// @brief Records an answer of the partition that holds the head row.
    void partition_answered(base::steady_time now)
    {
        partition_answered_ = now;
    }

    /// @brief Returns the milliseconds since the last answer that shows whether
    /// this member could lead; -1 for never.
    ///
    /// @param leader_failing the partition fails for the leader, so that
    /// answers of other partitions prove nothing
    /// @param any when any partition last answered; steady_time{} for never
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
