#include <algorithm>

#include "mustardwick/dispatch/planner.hpp"
#include "ready_step.hpp"

namespace mustardwick::dispatch
{

namespace
{

using std::chrono::milliseconds;

/// In a full cell, faulty hosts look empty and would take every waiting task
/// that can run elsewhere. Otherwise a step that fits nowhere else may use
/// suspect hosts after this time: the work may be at fault, not the host.
constexpr milliseconds suspect_host_delay{1000};

bool has_idle_cpu_runs(const host_state& host)
{
    return std::any_of(host.runs.begin(), host.runs.end(),
                       [](const auto& it)
                       {
                           return it.second.uses_idle_cpu;
                       });
}

bool has_label(const host_state& host, std::string_view label)
{
    const auto& labels = host.info.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

/// Returns whether a run that has started after the given time, or has not
/// started yet, occupies a host.
bool has_runs_since(const host_state& host, base::steady_time since)
{
    return std::any_of(host.runs.begin(), host.runs.end(),
                       [&](const auto& it)
                       {
                           return it.second.started >= since ||
                                  it.second.phase != run_phase::started;
                       });
}

bool has_latency_sensitive_runs(const host_state& host)
{
    return std::any_of(host.runs.begin(), host.runs.end(),
                       [](const auto& it)
                       {
                           return it.second.is_latency_sensitive();
                       });
}

} // namespace

bool planner::may_run_work(const host_state& host) const
{
    // Between the restart of a worker and its first report, orders would reach
    // an incarnation whose runs are unknown.
    const bool same_incarnation =
        host.info.incarnation_start_ms == 0 ||
        host.info.incarnation_start_ms == host.incarnation_start_ms;
    // A start would lengthen a lease on whose end a successor relies.
    return host.listed && host.adopted && host.reachable && same_incarnation &&
           !host.lease_is_stored && !host.info.draining &&
           !evacuated_.contains(host.info.failure_domain);
}

bool planner::is_in_service(const host_state& host,
                            std::string_view service) const
{
    return may_run_work(host) && host.info.service == service &&
           host.avoid_until <= clock_.now();
}

bool planner::is_usable(const host_state& host, std::string_view service) const
{
    return is_in_service(host, service) &&
           !(is_suspect(host) && clock_.now() < host.quarantined_until);
}

bool planner::may_use_suspect_hosts(const ready_step& step) const
{
    const auto& blocked_since = step.state().blocked_since;
    return blocked_since &&
           clock_.now() - *blocked_since >= suspect_host_delay &&
           (!is_busy(step.queue->service) || needs_suspect_hosts(step));
}

bool planner::can_ever_use(const host_state& host, const ready_step& step) const
{
    const auto& spec = step.spec();
    const bool has_labels =
        spec.required_label.empty() || has_label(host, spec.required_label);
    // Tasks that do not last leave the host soon.
    const bool is_spread_out = spec.long_running && spec.max_per_host > 0 &&
                               count_tasks_on(host, step) >= spec.max_per_host;
    return has_labels && !is_spread_out &&
           !step.state().access.is_denied(host.index) &&
           step.fit_in(host.info.capacity) > 0;
}

bool planner::needs_suspect_hosts(const ready_step& step) const
{
    return std::none_of(hosts_.begin(), hosts_.end(),
                        [&](const auto& entry)
                        {
                            const auto& host = entry.second;
                            return is_in_service(host, step.queue->service) &&
                                   !is_suspect(host) &&
                                   can_ever_use(host, step);
                        });
}

int planner::max_tasks_on(const host_state& host, const ready_step& step) const
{
    const auto& spec = step.spec();
    if (!spec.required_label.empty() && !has_label(host, spec.required_label))
        return 0;
    // A host on probation gets one task at a time until one succeeds; a step
    // that has no other host is not held up by the tasks of others there.
    int n = step.waiting;
    if (is_suspect(host))
    {
        const bool is_occupied =
            may_use_suspect_hosts(step)
                ? count_tasks_on(host, step) > 0
                : has_runs_since(host, host.quarantined_until);
        n = is_occupied ? 0 : 1;
    }
    // Tasks that use idle CPU time can slow a latency-sensitive neighbour past
    // its target; its host is their last choice.
    if (spec.uses_idle_cpu && has_latency_sensitive_runs(host))
        n = may_share_idle_cpu(host, step) ? std::min(n, 1) : 0;
    if (spec.max_per_host > 0)
        n = std::min(n, spec.max_per_host - count_tasks_on(host, step));
    return std::max(n, 0);
}

int planner::count_tasks_on(const host_state& host, const ready_step& step)
{
    return int(std::count_if(host.runs.begin(), host.runs.end(),
                             [&](const auto& entry)
                             {
                                 const auto& task = entry.second.task;
                                 return task.job ==
                                            step.job->specification.id &&
                                        task.occurrence == step.occurrence() &&
                                        task.step == step.step;
                             }));
}

policy::resources planner::unreserved_capacity(const host_state& host,
                                               const ready_step& step) const
{
    const bool preempted_for_other =
        host.preempted_until > clock_.now() &&
        host.preempted_for != step.job->specification.id;
    auto out = host.free() - host.reserved;
    if (preempted_for_other)
        out -= host.preempted_capacity;
    return out;
}

int planner::slots_on(const host_state& host, const ready_step& step) const
{
    // Most hosts of a full cell have too few processors.
    const auto millicpus = charged_size(step.spec()).millicpus;
    if (millicpus > 0 && host.info.capacity.millicpus - host.used.millicpus -
                                 host.reserved.millicpus <
                             millicpus)
        return 0;
    const int n = step.fit_in(unreserved_capacity(host, step));
    return n == 0 ? 0 : std::min(n, max_tasks_on(host, step));
}

std::vector<planner::candidate>
planner::find_candidates(const ready_step& step,
                         std::vector<candidate>& unknown)
{
    std::vector<candidate> allowed;
    const auto now = clock_.now();
    const auto& state = step.state();
    const bool reserves = step.may_reserve();
    // Without a query only the hosts with tickets can be used.
    const bool tickets_only = step.queue->advice && !may_query(step);
    const auto with_tickets =
        tickets_only ? allowed_hosts(step) : std::vector<host_state*>();
    const double needed_speed = needed_speed_of(step);
    const auto kind = kind_id_of(step.job->specification, step.step);
    const auto examine = [&](host_state* host)
    {
        if (state.access.is_denied(host->index))
            return;
        ++round_.hosts_examined;
        candidate it;
        it.slots = slots_on(*host, step);
        if ((it.slots == 0 && !reserves) || has_failed_on(step, *host))
            return;
        it.host = host;
        it.speed_rank = policy::speed_rank(host->speed, needed_speed);
        it.is_disturbed = is_disturbed(*host, kind);
        round_.disturbed_hosts += it.is_disturbed ? 1 : 0;
        it.is_quarantined = !is_usable(*host, step.queue->service);
        it.is_held = host->held_until > now &&
                     host->held_for != step.job->specification.id;
        it.runs_idle_cpu_work =
            step.spec().target_ms > 0 && has_idle_cpu_runs(*host);
        it.near_data = step.spec().preferred_rack.empty() ||
                       step.spec().preferred_rack == host->info.rack;
        if (step.queue->advice)
        {
            it.was_allowed = state.access.is_allowed(host->index);
            it.ticket = state.access.ticket(host->index);
            if (it.ticket == nullptr ||
                it.ticket->expires < now + ticket_reserve)
            {
                unknown.push_back(it);
                return;
            }
        }
        if (it.slots > 0)
            allowed.push_back(it);
    };
    for (auto* host :
         tickets_only ? with_tickets : round_hosts_[step.queue->service])
        examine(host);
    if (!tickets_only && may_use_suspect_hosts(step))
        for (auto* host : round_quarantined_[step.queue->service])
            examine(host);
    // Best fit keeps large gaps for large tasks.
    std::stable_sort(allowed.begin(), allowed.end(),
                     [](const auto& left, const auto& right)
                     {
                         if (left.is_quarantined != right.is_quarantined)
                             return right.is_quarantined;
                         if (left.preference() != right.preference())
                             return left.preference() < right.preference();
                         return left.host->free().millicpus <
                                right.host->free().millicpus;
                     });
    return allowed;
}

bool planner::has_failed_on(const ready_step& step,
                            const host_state& host) const
{
    const auto& failed = step.state().failed_on;
    const auto it = failed.find(host.index);
    return it != failed.end() && clock_.now() < it->second;
}

} // namespace mustardwick::dispatch
