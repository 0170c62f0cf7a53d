#include <algorithm>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "mustardwick/base/log.hpp"
#include "mustardwick/dispatch/planner.hpp"
#include "mustardwick/policy/urgency.hpp"
#include "ready_step.hpp"

namespace mustardwick::dispatch
{

namespace
{

using base::log_event;
using base::log_level;

/// Deferrable work may wait for more valuable work only while more than this
/// share of a service's processors is in use; below half, every task that fits
/// has to start.
constexpr double busy_share = 0.6;
/// Above this share of a service's usable processors, free capacity is what
/// tasks leave that have just ended. Below it, there is also room that the
/// waiting steps cannot use: in small parts, or on hosts denied to them.
constexpr double full_share = 0.9;

/// Returns the checkpoint that a task resumes from. The members of a gang step
/// resume from the same one.
const std::string& checkpoint_of(const jobs::step& step,
                                 std::span<const jobs::task_record> tasks,
                                 int index)
{
    if (!step.is_gang)
        return tasks[std::size_t(index)].checkpoint;
    // Earlier releases kept one for each member, each of which is valid.
    const auto it = std::find_if(tasks.begin(), tasks.end(),
                                 [](const auto& task)
                                 {
                                     return !task.checkpoint.empty();
                                 });
    return it == tasks.end() ? tasks.front().checkpoint : it->checkpoint;
}

} // namespace

void planner::place_waiting_steps()
{
    const auto started = clock_.now();
    round_hosts_.clear();
    round_quarantined_.clear();
    round_processors_.clear();
    round_planned_millicpus_ = 0;
    round_preemption_searches_ = 0;
    round_ = {};
    limit_quarantines();
    for (auto& [id, host] : hosts_)
    {
        auto& processors = round_processors_[host.info.service];
        if (host.listed)
        {
            processors.used += host.used.millicpus;
            processors.listed += host.info.capacity.millicpus;
            ++round_.listed_hosts;
            round_.unreachable_hosts += host.reachable ? 0 : 1;
            round_.suspect_hosts += is_suspect(host) ? 1 : 0;
        }
        host.reserved = {};
        host.speed = speeds_.speed(host.index);
        if (!is_usable(host, host.info.service))
        {
            if (is_in_service(host, host.info.service))
                round_quarantined_[host.info.service].push_back(&host);
            continue;
        }
        processors.usable += host.info.capacity.millicpus;
        round_hosts_[host.info.service].push_back(&host);
        ++round_.usable_hosts;
        round_.free_millicpus += host.free().millicpus;
    }
    std::vector<ready_step> at_maximum;
    const auto steps = collect_ready_steps(at_maximum);
    round_.active_jobs = active_.size();
    round_.ready_steps = steps.size();
    find_longest_waiting(steps);
    std::set<std::string_view> short_services;
    std::set<std::string_view> full_services;
    for (const auto& it : steps)
    {
        // Small tasks of deferrable work would fill every gap and use up the
        // advice channels that wide steps wait for.
        const std::string_view service = it.queue->service;
        const bool is_late = it.value_class() == policy::value_class::late;
        const bool is_deferred = (policy::is_deferrable(it.value_class()) &&
                                  short_services.contains(service)) ||
                                 (is_late && full_services.contains(service));
        if (is_deferred)
        {
            ++round_.deferred;
            hold_back(it, hold_reason::deferred);
            continue;
        }
        if (place_step(it))
            continue;
        if (is_busy(service))
            short_services.insert(service);
        // Late work would take the last slots, one by one, from small steps
        // that can still be in time.
        if (is_full(service) && !it.spec().is_gang &&
            it.value_class() == policy::value_class::in_time)
            full_services.insert(service);
    }
    log_held_steps({steps, at_maximum});
    const auto took = clock_.now() - started;
    round_.duration =
        std::chrono::duration_cast<std::chrono::microseconds>(took);
    metrics_.observe("mustardwick_placement_round_seconds",
                     std::chrono::duration<double>(took).count());
}

planner::processors planner::processors_of(std::string_view service) const
{
    const auto it = round_processors_.find(service);
    return it == round_processors_.end() ? processors{} : it->second;
}

bool planner::is_busy(std::string_view service) const
{
    const auto it = processors_of(service);
    return double(it.used) > double(it.listed) * busy_share;
}

bool planner::is_full(std::string_view service) const
{
    const auto it = processors_of(service);
    return double(it.used) > double(it.usable) * full_share;
}

int planner::tasks_within_maximum(job_run& job, const policy::resources& size)
{
    const auto& context = context_of(job);
    if (context.maximum == nullptr)
        return std::numeric_limits<int>::max();
    const auto& maximum = *context.maximum;
    auto used = context.usage->used;
    used += context.usage->outstanding;
    std::int64_t n = std::numeric_limits<int>::max();
    const auto bound =
        [&n](std::int64_t limit, std::int64_t taken, std::int64_t need)
    {
        if (limit > 0 && need > 0)
            n = std::min(n, std::max<std::int64_t>(0, limit - taken) / need);
    };
    bound(maximum.millicpus, used.millicpus, size.millicpus);
    bound(maximum.memory_mb, used.memory_mb, size.memory_mb);
    bound(maximum.accelerators, used.accelerators, size.accelerators);
    return int(n);
}

bool planner::must_start_whole(const ready_step& step) const
{
    if (step.value_class() != policy::value_class::in_time ||
        !is_busy(step.queue->service))
        return false;
    return policy::has_no_second_wave(
        step.inputs, std::int64_t(double(estimate_of(step.spec())) *
                                  step.job->context.estimate_factor));
}

bool planner::place_step(const ready_step& step)
{
    const auto& spec = step.spec();
    const int affordable =
        std::min(step.waiting, tasks_within_maximum(*step.job, spec.size));
    if (affordable == 0 || (spec.is_gang && affordable < step.waiting))
    {
        hold_back(step, hold_reason::account_at_maximum);
        return true;
    }
    if (!may_plan_ahead(step))
    {
        hold_back(step, hold_reason::behind_planned_steps);
        return false;
    }
    if (step.queue->advice && !can_use_advice(step))
    {
        want_channel(step);
        hold_back(step, step.state().open_queries > 0
                            ? hold_reason::waiting_for_advice
                            : hold_reason::no_free_channel);
        reserve_capacity(step);
        return false;
    }
    std::vector<candidate> unknown;
    const auto allowed = find_candidates(step, unknown);
    int free_slots = 0;
    for (const auto& it : allowed)
        free_slots += it.slots;
    const int missing = affordable - std::min(affordable, free_slots);
    const bool has_hosts_to_query =
        step.queue->advice && (!unknown.empty() || !may_query(step));
    if (missing > 0 && !unknown.empty())
        query_advice(step, std::move(unknown), missing);
    else
        step.state().channel_wanted_since.reset();
    if (has_outstanding_orders(step))
        return place_beside_outstanding(step, allowed, affordable);
    if (free_slots < affordable)
        ++round_.without_capacity;
    const bool is_whole =
        !spec.is_gang && free_slots < affordable && must_start_whole(step);
    if (is_whole)
        keep_free_slots(step, allowed, affordable);
    if (free_slots == 0 || is_whole ||
        (spec.is_gang && free_slots < affordable))
    {
        if (!has_hosts_to_query)
            step.state().blocked_since =
                step.state().blocked_since.value_or(clock_.now());
        const auto lacking = step.state().channel_wanted_since
                                 ? hold_reason::no_free_channel
                                 : hold_reason::without_capacity;
        hold_back(step, is_whole ? hold_reason::kept_for_whole_start : lacking);
        preempt_to_fit(step);
        reserve_capacity(step);
        return false;
    }
    int run = 0;
    for (const auto& it : step.tasks())
        run = std::max(run, it.run);
    std::size_t at = 0;
    int left_here = allowed.front().slots;
    int placed = 0;
    auto& tasks = step.tasks();
    for (std::size_t index = 0;
         index < tasks.size() && placed < affordable && at < allowed.size();
         ++index)
    {
        if (tasks[index].state != jobs::task_state::waiting)
            continue;
        // All members of a gang step share one run number.
        const int number = spec.is_gang ? run + 1 : tasks[index].run + 1;
        assign(step, int(index), number, allowed[at]);
        ++placed;
        if (--left_here == 0 && ++at < allowed.size())
            left_here = allowed[at].slots;
    }
    step.state().blocked_since.reset();
    step.state().held.reset();
    mark_dirty(*step.job);
    return placed == affordable;
}

void planner::assign(const ready_step& step, int index, int run,
                     const candidate& where)
{
    auto& host = *where.host;
    auto& job = *step.job;
    if (step.spec().target_ms > 0)
        stop_idle_cpu_runs(host, "a latency-sensitive task uses the host");
    auto& record = step.tasks()[std::size_t(index)];
    record.state = jobs::task_state::assigned;
    record.run = run;
    record.worker = host.info.id;
    record.worker_incarnation_start_ms = host.incarnation_start_ms;
    const jobs::task_key key{job.specification.id, step.occurrence(), step.step,
                             index};
    add_run(host, job, key, run, run_phase::recording);
    start_order order;
    order.worker = host.info.id;
    order.task = key;
    order.run = run;
    order.payload = job.specification.payload;
    order.checkpoint = checkpoint_of(step.spec(), step.tasks(), index);
    order.worker_incarnation_start_ms = host.incarnation_start_ms;
    order.uses_suspect_host = where.is_quarantined;
    if (where.ticket != nullptr)
    {
        order.ticket = where.ticket->ticket;
        order.ticket_expires = where.ticket->expires;
    }
    job.starts.push_back(std::move(order));
    if (run > 1)
        log_event(log_level::info, "planner", "task_placed_again",
                  {{"task", to_string(key)},
                   {"run", run},
                   {"worker", host.info.id},
                   {"incarnation_start_ms", host.incarnation_start_ms}});
    if (job.record.state == jobs::job_state::queued)
    {
        job.record.state = jobs::job_state::running;
        auto& usage = *context_of(job).usage;
        if (job.specification.over_share && usage.surplus)
            usage.surplus->started();
        const auto waited =
            std::chrono::duration<double>(clock_.now() - job.arrived);
        metrics_.observe("mustardwick_job_wait_seconds", waited.count());
        log_event(log_level::info, "planner", "job_first_placed",
                  {{"job", job.specification.id},
                   {"queue", job.specification.queue},
                   {"waited_ms", std::int64_t(waited.count() * 1000)},
                   {"worker", host.info.id},
                   {"configuration", configuration_.version}});
    }
}

} // namespace mustardwick::dispatch
