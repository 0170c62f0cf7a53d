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

/// Minimum slack of a job whose task may be preempted, so that the job does not
/// become late. It covers the stop, the wait for capacity and the work since
/// the last checkpoint.
constexpr std::int64_t min_slack_ms = 3000;
/// Maximum ratio of the stop time, in which the capacity is idle, to the run
/// time of the step that preempts.
constexpr double max_stop_overhead = 0.1;
/// Time from the end of the last stopped task to the start of the step.
constexpr milliseconds start_margin{400};
/// Maximum number of preemption searches in one round; each examines every task
/// on the hosts that the step may use.
constexpr int preemption_searches_per_round = 2;

/// One part in this many of a full host is expected to become free soon, since
/// tasks end within seconds.
constexpr int full_host_share = 2;
/// Share of a service's processors that may be reserved for gang steps;
/// reserved capacity is idle until the last task fits.
constexpr double reserved_share = 0.1;
/// Share of a service's processors for which hosts are queried in advance, so
/// that tickets are available once capacity can be reserved.
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
    // While there is room, a step that cannot run must not hold back others.
    if (!step.may_reserve() || !is_busy(step.queue->service))
        return true;
    const auto usable_millicpus = processors_of(step.queue->service).usable;
    return double(round_planned_millicpus_) <
           double(usable_millicpus) * planned_share;
}

std::vector<host_state*> planner::allowed_hosts(const ready_step& step)
{
    std::vector<host_state*> out;
    const bool includes_suspects = may_use_suspect_hosts(step);
    for (const auto& [index, ticket] : step.state().access.tickets())
    {
        auto* host = host_at_[index];
        if (host != nullptr && !has_failed_on(step, *host) &&
            (includes_suspects ? is_in_service(*host, step.queue->service)
                               : is_usable(*host, step.queue->service)))
            out.push_back(host);
    }
    return out;
}

bool planner::may_fit(const ready_step& step)
{
    int slots = 0;
    for (const auto* host : round_hosts_[step.queue->service])
    {
        if (!step.state().access.is_denied(host->index))
            slots += std::min(step.fit_in(host->info.capacity),
                              max_tasks_on(*host, step));
        if (slots >= step.waiting)
            return true;
    }
    return false;
}

void planner::reserve_capacity(const ready_step& step)
{
    if (!step.may_reserve())
        return;
    if (!may_fit(step))
        return;
    const auto usable_millicpus = processors_of(step.queue->service).usable;
    const bool can_reserve = double(round_planned_millicpus_) <
                             double(usable_millicpus) * reserved_share;
    round_planned_millicpus_ +=
        charged_size(step.spec()).millicpus * step.waiting;
    if (!can_reserve)
        return;
    struct reservable_host
    {
        host_state* host;
        int now;
        int soon;
    };
    std::vector<reservable_host> reservable_hosts;
    for (auto* host : allowed_hosts(step))
    {
        const int soon = potential_slots(*host, step);
        if (soon > 0)
            reservable_hosts.push_back({host, slots_on(*host, step), soon});
    }
    std::stable_sort(reservable_hosts.begin(), reservable_hosts.end(),
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
    for (const auto& it : reservable_hosts)
        reserve(*it.host, it.now);
    for (const auto& it : reservable_hosts)
        reserve(*it.host, it.soon - it.now);
}

void planner::keep_free_slots(const ready_step& step,
                              std::span<const candidate> allowed, int tasks)
{
    const auto size = charged_size(step.spec());
    const auto usable_millicpus = processors_of(step.queue->service).usable;
    if (double(round_planned_millicpus_) >=
        double(usable_millicpus) * reserved_share)
        return;
    round_planned_millicpus_ += size.millicpus * tasks;
    for (const auto& it : allowed)
        for (int n = 0; n < it.slots && tasks > 0; ++n, --tasks)
            it.host->reserved += size;
}

bool planner::may_preempt(const ready_step& step, const running& it)
{
    // Only the first run of a task may be stopped, so that the task eventually
    // completes.
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
    std::vector<policy::preemption_host> preemption_hosts;
    std::vector<std::vector<run_key>> preemptible;
    for (const auto* host : hosts)
    {
        policy::preemption_host candidate_host;
        candidate_host.free = unreserved_capacity(*host, step);
        candidate_host.max_tasks = max_tasks_on(*host, step);
        std::vector<run_key> keys;
        for (const auto& [key, it] : host->runs)
            if (may_preempt(step, it))
            {
                candidate_host.preemptible.push_back(it.size);
                keys.push_back(key);
            }
        preemption_hosts.push_back(std::move(candidate_host));
        preemptible.push_back(std::move(keys));
    }
    const auto choice = policy::plan_preemption(
        preemption_hosts, charged_size(step.spec()), step.waiting);
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
    log_event(log_level::info, "planner", "tasks_preempted",
              {{"job", step.job->specification.id},
               {"step", step.step},
               {"tasks", step.waiting},
               {"preempted_tasks", stopped},
               {"hosts", choice->size()}});
}

} // namespace mustardwick::dispatch
