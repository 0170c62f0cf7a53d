#pragma once

#include <cstdint>
#include <tuple>

namespace mustardwick::policy
{

/// @brief What is known of a step that waits for hosts.
struct waiting_step
{
    /// 0 comes first.
    int priority = 0;
    /// Expected run time of the longest chain of steps that is left.
    std::int64_t remaining_chain_ms = 0;
    /// Time left until the job's objective; negative once it has passed.
    std::int64_t time_to_objective_ms = 0;
    /// Time left until a late completion is worth nothing.
    std::int64_t time_to_late_deadline_ms = 0;
    /// The job is beyond its account's share.
    bool over_share = false;
};

/// @brief What finishing a step as early as possible can still earn.
enum class value_class
{
    in_time,
    late,
    /// Beyond the account's share.
    over_share,
    past_late_deadline
};

/// @brief Load pattern: a burst that leaves more work than fits. Work that can
/// still be in time goes before work that cannot, and an account's surplus
/// waits for what the others may count on.
inline value_class value_class_of(const waiting_step& it)
{
    if (it.remaining_chain_ms > it.time_to_late_deadline_ms)
        return value_class::past_late_deadline;
    if (it.over_share)
        return value_class::over_share;
    return it.remaining_chain_ms <= it.time_to_objective_ms
               ? value_class::in_time
               : value_class::late;
}

/// @brief Load pattern: a backlog of work that is worth nothing any more beside
/// wide steps that need many hosts at once. Such work starts only when nothing
/// else waits for room.
constexpr bool is_deferrable(value_class it)
{
    return it >= value_class::over_share;
}

/// @brief Sort key: outlook, priority, then least slack first.
inline std::tuple<value_class, int, std::int64_t>
urgency_of(const waiting_step& it)
{
    return {value_class_of(it), it.priority,
            it.time_to_objective_ms - it.remaining_chain_ms};
}

} // namespace mustardwick::policy
