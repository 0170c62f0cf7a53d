#include <algorithm>

#include "mustardwick/base/log.hpp"
#include "mustardwick/policy/preemption_plan.hpp"
#include "ready_step.hpp"

namespace mustardwick::dispatch
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// Slack that a job needs so that stopping one of its tasks does not make it
/// late: the stop, the wait for room and the work since the last checkpoint.
constexpr std::int64_t min_slack_ms = 3000;
/// Stopping is worth it when the time of a stop, in which the room is idle, is
/// at most this part of the step's run time.
constexpr double max_stop_overhead = 0.1;
/// Time from the end of the last stopped task to the start of the step.
constexpr milliseconds start_margin{400};
/// Steps for which tasks are stopped in one round; each search looks at every
/// task on the hosts that the step may use.
constexpr int preemption_searches_per_round = 2;

/// Part of a full host that is expected to become free soon: tasks end within
/// seconds.
constexpr int full_host_share = 2;
/// Share of a service's processors that may be kept for all-at-once steps;
/// what is kept is idle until the last task fits.
constexpr double reserved_share = 0.1;
/// Share for which hosts are sought in advance, so that advice is there when
/// room can be kept.
constexpr double planned_share = 0.2;

} // namespace

int planner::potential_slots(const host_state& host,
                             const ready_step& step) const
{
    const int n = step.fit_in(host.info.capacity);
    if (n == 0)
        return 0;
    const int soon = std::max(1, n / full_host_share);
    return std::min(std::max(soon, slots_on(host, step)),
                    max_tasks_on(host, step));
}

bool planner::may_plan_ahead(const ready_step& step) const
{
    if (!step.may_reserve())
        return true;
    const auto whole = processors_of(step.queue->service).usable;
    return double(round_planned_millicpus_) < double(whole) * planned_share;
}

std::vector<host_state*> planner::allowed_hosts(const ready_step& step)
{
    std::vector<host_state*> out;
    for (const auto& [id, ticket] : step.state().tickets)
    {
        const auto it = hosts_.find(id);
        if (it != hosts_.end() && !step.state().failed_on.contains(id) &&
            is_usable(it->second, step.queue->service))
            out.push_back(&it->second);
    }
    return out;
}

void planner::reserve_capacity(const ready_step& step)
{
    if (!step.may_reserve())
        return;
    const auto whole = processors_of(step.queue->service).usable;
    const bool keeps =
        double(round_planned_millicpus_) < double(whole) * reserved_share;
    round_planned_millicpus_ +=
        charged_size(step.spec()).millicpus * step.waiting;
    if (!keeps)
        return;
    struct place
    {
        host_state* host;
        int now;
        int soon;
    };
    std::vector<place> places;
    for (auto* host : allowed_hosts(step))
    {
        const int soon = potential_slots(*host, step);
        if (soon > 0)
            places.push_back({host, slots_on(*host, step), soon});
    }
    std::stable_sort(places.begin(), places.end(),
                     [](const auto& left, const auto& right)
                     {
                         return left.host->free().millicpus >
                                right.host->free().millicpus;
                     });
    int missing = step.waiting;
    const auto reserve = [&](host_state& host, int n)
    {
        for (; n > 0 && missing > 0; --n, --missing)
            host.reserved += charged_size(step.spec());
    };
    for (const auto& it : places)
        reserve(*it.host, it.now);
    for (const auto& it : places)
        reserve(*it.host, it.soon - it.now);
}

bool planner::may_preempt(const ready_step& step, const running& it)
{
    // A task is moved once at most, so that it gets done in the end.
    if (it.phase != run_phase::started || it.run > 1)
        return false;
    auto* job = find_job(it.task.job);
    if (job == nullptr || job->record.open.empty())
        return false;
    const auto& spec = job->specification.steps.at(std::size_t(it.task.step));
    if (!spec.checkpointing || spec.is_gang || spec.long_running)
        return false;
    if (context_of(*job).queue == nullptr)
        return false;
    const auto inputs = urgency_inputs(*job);
    if (policy::value_class_of(inputs) != policy::value_class::in_time)
        return true;
    return inputs.priority > step.queue->priority &&
           inputs.time_to_objective_ms - inputs.remaining_chain_ms >
               min_slack_ms;
}

void planner::preempt_to_fit(const ready_step& step)
{
    auto& state = step.state();
    const auto now = clock_.now();
    const double run_ms = double(step.spec().estimate_ms);
    if (double(options_.stop_grace.count()) > run_ms * max_stop_overhead)
        return;
    if (!step.may_reserve() ||
        round_preemption_searches_ >= preemption_searches_per_round ||
        state.preempting_until > now)
        return;
    ++round_preemption_searches_;
    const auto hosts = allowed_hosts(step);
    std::vector<policy::preemption_host> rooms;
    std::vector<std::vector<run_key>> preemptible;
    for (const auto* host : hosts)
    {
        policy::preemption_host room;
        room.free = unreserved_capacity(*host, step);
        room.max_tasks = max_tasks_on(*host, step);
        std::vector<run_key> keys;
        for (const auto& [key, it] : host->runs)
            if (may_preempt(step, it))
            {
                room.preemptible.push_back(it.size);
                keys.push_back(key);
            }
        rooms.push_back(std::move(room));
        preemptible.push_back(std::move(keys));
    }
    const auto choice =
        policy::plan_preemption(rooms, charged_size(step.spec()), step.waiting);
    if (!choice)
        return;
    state.preempting_until = now + options_.stop_grace + start_margin;
    std::size_t stopped = 0;
    for (const auto& it : *choice)
    {
        auto& host = *hosts[it.host];
        for (std::size_t n = 0; n < it.preempted; ++n, ++stopped)
            stop_run(host, host.runs.at(preemptible[it.host][n]));
        host.preempted_for = step.job->specification.id;
        host.preempted_until = state.preempting_until;
        host.preempted_capacity = {};
        for (int n = 0; n < it.members; ++n)
            host.preempted_capacity += charged_size(step.spec());
    }
    metrics_.add("mustardwick_preemptions_total", stopped);
    log_event(log_level::info, "planner", "room_made",
              {{"job", step.job->specification.id},
               {"step", step.step},
               {"tasks", step.waiting},
               {"stopped_tasks", stopped},
               {"hosts", choice->size()}});
}

} // namespace mustardwick::dispatch
