#include "mustardwick/dispatch/planner.hpp"
#include "mustardwick/dispatch/worker_speed_rows.hpp"
#include "mustardwick/wire/codec.hpp"
#include "ready_step.hpp"

namespace mustardwick::dispatch
{

void planner::record_run_time(const host_state& host, const running& it)
{
    auto* job = find_job(it.task.job);
    const auto at = std::size_t(it.task.step);
    if (job == nullptr || at >= job->specification.steps.size())
        return;
    const auto& spec = job->specification.steps[at];
    // A later run may have resumed from a checkpoint. A gang runs as long as
    // its slowest member, and away from its data a task takes longer.
    const bool is_near_data =
        spec.preferred_rack.empty() || spec.preferred_rack == host.info.rack;
    if (it.phase != run_phase::started || it.started_clock_ms == 0 ||
        it.run != 1 || spec.is_gang || spec.long_running || !is_near_data)
        return;
    auto* step = find_step(it.task);
    if (step == nullptr)
        return;
    const auto slowdown = speeds_.record(
        host.index, job->specification.queue, step->run_times,
        double(spec.estimate_ms), double(host.clock_ms - it.started_clock_ms));
    if (slowdown)
        record_slowdown(host, it, *slowdown);
}

double planner::needed_speed_of(const ready_step& step)
{
    const auto& inputs = step.inputs;
    const auto value = step.value_class();
    if (value == policy::value_class::in_time)
        return policy::needed_speed(double(inputs.remaining_chain_ms),
                                    double(inputs.time_to_objective_ms));
    if (value == policy::value_class::late)
        return policy::needed_speed(double(inputs.remaining_chain_ms),
                                    double(inputs.time_to_late_deadline_ms));
    return 0;
}

std::string planner::encode_speeds() const
{
    worker_speed_rows out;
    for (const auto& [id, host] : hosts_)
    {
        const auto found = speeds_.estimate(host.index);
        if (!host.listed || found.samples == 0 ||
            out.workers.size() >= max_speed_rows)
            continue;
        out.workers.push_back(
            {id, host.incarnation_start_ms, found.log_speed, found.samples});
    }
    return wire::encode(out);
}

void planner::restore_speeds(std::string_view text)
{
    const auto found = wire::decode<worker_speed_rows>(text);
    if (!found)
        return;
    for (const auto& it : found->workers)
    {
        saved_speeds_[it.worker] = it;
        if (const auto host = hosts_.find(it.worker); host != hosts_.end())
            apply_saved_speed(host->second);
    }
}

void planner::apply_saved_speed(host_state& host)
{
    const auto it = saved_speeds_.find(host.info.id);
    if (it == saved_speeds_.end() ||
        it->second.incarnation_start_ms != host.info.incarnation_start_ms)
        return;
    // Runs that were recorded meanwhile are newer.
    if (speeds_.estimate(host.index).samples > 0)
        return;
    speeds_.restore(host.index, {it->second.log_speed, it->second.samples, 0});
    saved_speeds_.erase(it);
}

} // namespace mustardwick::dispatch
