#pragma once

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "mustardwick/dispatch/planner.hpp"

namespace mustardwick::dispatch
{

/// A ticket that expires within this time is not used, because the assignment
/// has to become durable and the order has to arrive first.
inline constexpr std::chrono::milliseconds ticket_reserve{250};

/// Run time that is assumed for steps without an estimate.
inline constexpr std::int64_t default_estimate_ms = 1000;

inline std::int64_t estimate_of(const jobs::step& step)
{
    return step.estimate_ms > 0 ? step.estimate_ms : default_estimate_ms;
}

/// @brief A host that could take tasks of a step in this round.
struct planner::candidate
{
    host_state* host = nullptr;
    int slots = 0;
    /// Null when the queue needs no advice.
    const held_ticket* ticket = nullptr;
    /// The advisor allowed the host before; its ticket may have expired.
    bool was_allowed = false;
    bool near_data = false;
    /// Held for the advice query of another job.
    bool is_held = false;
    bool is_quarantined = false;
    /// Work that runs there interferes with that of the step.
    bool is_disturbed = false;
    /// See policy::speed_rank.
    int speed_rank = 0;
    /// A latency-sensitive task would stop runs that use idle CPU time there.
    bool runs_idle_cpu_work = false;

    /// @brief Returns the sort key for reasons other than free capacity; lower
    /// ones come first.
    auto preference() const
    {
        return std::tuple(!near_data, is_held, runs_idle_cpu_work, speed_rank,
                          is_disturbed);
    }
};

/// @brief A step whose tasks may start as soon as there is free capacity.
struct planner::ready_step
{
    job_run* job = nullptr;
    std::size_t position = 0;
    int step = 0;
    const jobs::queue* queue = nullptr;
    int waiting = 0;
    policy::waiting_step inputs;
    /// policy::urgency_of the inputs.
    std::tuple<policy::value_class, int, std::int64_t> urgency;

    const jobs::step& spec() const
    {
        return job->specification.steps[std::size_t(step)];
    }
    std::vector<jobs::task_record>& tasks() const
    {
        return job->record.open[position].tasks[std::size_t(step)];
    }
    step_run& state() const
    {
        return job->steps[position][std::size_t(step)];
    }
    /// @brief Returns whether capacity may be reserved for the step while it
    /// waits.
    bool may_reserve() const
    {
        return spec().is_gang && queue->advice.has_value() &&
               value_class() == policy::value_class::in_time;
    }
    /// @brief Returns the number of waiting tasks that fit in the given
    /// capacity.
    int fit_in(const policy::resources& space) const
    {
        return int(std::min<std::int64_t>(
            policy::units_in(space, charged_size(spec())), waiting));
    }
    policy::value_class value_class() const
    {
        return std::get<0>(urgency);
    }
    std::int64_t occurrence() const
    {
        return job->record.open[position].number;
    }
};

} // namespace mustardwick::dispatch
