#pragma once

#include <cstdint>
#include <tuple>

namespace mustardwick::policy
{

/// A late completion still has value up to this many times the objective.
inline constexpr int late_factor = 3;

/// @brief Scheduling inputs of a step that waits for hosts.
struct waiting_step
{
    /// Lower values are scheduled first.
    int priority = 0;
    /// Expected run time of the longest remaining chain of steps.
    std::int64_t remaining_chain_ms = 0;
    /// Time until the job's objective; negative once it has passed.
    std::int64_t time_to_objective_ms = 0;
    /// Time until the late deadline, after which a completion has no value.
    std::int64_t time_to_late_deadline_ms = 0;
    /// The job exceeds its account's share.
    bool over_share = false;
    /// The tasks run until the job is cancelled: there is no completion that
    /// could be late, and each moment without them loses value.
    bool long_running = false;
    /// Expected time from now to the start: advice, the commit and the order.
    std::int64_t start_delay_ms = 0;

    /// @brief Returns the expected time until the job can have ended.
    std::int64_t time_needed_ms() const
    {
        return remaining_chain_ms + start_delay_ms;
    }
};

/// @brief The value that a step can still earn when it finishes as early as
/// possible, in scheduling order.
enum class value_class
{
    in_time,
    late,
    /// Exceeds the account's share.
    over_share,
    past_late_deadline
};

/// @brief Returns the value class of a waiting step.
///
/// Load pattern: a burst that leaves more work than fits. Work that can still
/// meet its objective goes before work that cannot, and work over an account's
/// share waits for the guaranteed shares of the others. Long-running work never
/// becomes worthless, however long ago its job arrived. The time to the start
/// counts: otherwise the work with the least time left, which comes first,
/// starts just too late, and so does all work behind it.
inline value_class value_class_of(const waiting_step& it)
{
    if (it.long_running)
        return it.over_share ? value_class::late : value_class::in_time;
    if (it.time_needed_ms() > it.time_to_late_deadline_ms)
        return value_class::past_late_deadline;
    if (it.over_share)
        return value_class::over_share;
    return it.time_needed_ms() <= it.time_to_objective_ms ? value_class::in_time
                                                          : value_class::late;
}

/// @brief Returns whether tasks of a step that start only when its first ones
/// have ended are too late for the objective.
///
/// Load pattern: a burst of short urgent jobs of a few tasks each. When each
/// one starts some of its tasks, hardly any has all of them done in time.
/// @param run_ms expected run time of one task
inline bool has_no_second_wave(const waiting_step& it, std::int64_t run_ms)
{
    return !it.long_running &&
           it.time_to_objective_ms - it.time_needed_ms() < run_ms;
}

/// @brief Returns whether a step starts only when no other step waits for free
/// capacity.
///
/// Load pattern: a backlog of work past its late deadline, next to wide steps
/// that need many hosts at once.
constexpr bool is_deferrable(value_class it)
{
    return it >= value_class::over_share;
}

/// @brief Returns the sort key: value class, priority, then least slack first.
inline std::tuple<value_class, int, std::int64_t>
urgency_of(const waiting_step& it)
{
    return {value_class_of(it), it.priority,
            it.time_to_objective_ms - it.time_needed_ms()};
}

} // namespace mustardwick::policy
