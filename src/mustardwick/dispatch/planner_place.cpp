#include <algorithm>
#include <set>
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
using std::chrono::milliseconds;

/// Run time that is assumed for steps without an estimate.
constexpr std::int64_t default_estimate_ms = 1000;
/// Deferrable work may wait for more valuable work only while more than this
/// share of a service's processors is in use; below half, every task that fits
/// has to start.
constexpr double busy_share = 0.6;
/// Above this share of a service's usable processors, free capacity is what
/// tasks leave that have just ended. Below it, there is also room that the
/// waiting steps cannot use: in small parts, or on hosts denied to them.
constexpr double full_share = 0.9;
/// Time to store an assignment and to send its order.
constexpr std::int64_t order_delay_ms = 60;
/// Number of hosts that an advice query usually names.
constexpr int hosts_in_query = 15;
/// Interval at which jobs that can earn nothing any more are looked at while
/// other work waits; a backlog of thousands would take most of a round.
constexpr milliseconds parked_interval{500};
/// Number of hosts that a job's objective assumes for the advice query of a
/// step.
constexpr int hosts_in_objective = 30;

std::int64_t estimate_of(const jobs::step& step)
{
    return step.estimate_ms > 0 ? step.estimate_ms : default_estimate_ms;
}

/// Returns the length in milliseconds of the longest chain of dependent steps,
/// counting only the steps for which the filter holds; each takes `extra_ms`
/// in addition to its estimate.
template <typename Filter>
std::int64_t longest_chain(const std::vector<jobs::step>& steps,
                           std::int64_t extra_ms, Filter&& is_left)
{
    std::vector<std::int64_t> ends(steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t it = 0; it < steps.size(); ++it)
    {
        std::int64_t begin = 0;
        for (const int earlier : steps[it].after)
            begin = std::max(begin, ends[std::size_t(earlier)]);
        ends[it] =
            begin + (is_left(it) ? estimate_of(steps[it]) + extra_ms : 0);
        longest = std::max(longest, ends[it]);
    }
    return longest;
}

int count_waiting(const std::vector<jobs::task_record>& tasks)
{
    return int(std::count_if(tasks.begin(), tasks.end(),
                             [](const auto& it)
                             {
                                 return it.state == jobs::task_state::waiting;
                             }));
}

} // namespace

std::int64_t planner::objective_of(const jobs::job& job,
                                   const jobs::queue& queue,
                                   double estimate_factor)
{
    const auto advice =
        queue.advice
            ? std::int64_t(queue.advice->base_ms +
                           queue.advice->per_host_ms * hosts_in_objective)
            : 0;
    const auto whole = longest_chain(job.steps, advice,
                                     [](std::size_t)
                                     {
                                         return true;
                                     });
    const double run_ms = double(longest_chain(job.steps, 0,
                                               [](std::size_t)
                                               {
                                                   return true;
                                               }));
    return std::int64_t(queue.stretch *
                        (double(whole) + (estimate_factor - 1.0) * run_ms)) +
           queue.target_latency_ms;
}

const job_context& planner::context_of(job_run& job)
{
    auto& out = job.context;
    if (out.configuration_serial == configuration_serial_)
        return out;
    out = {};
    out.configuration_serial = configuration_serial_;
    out.usage = &usage_of(job.specification.account);
    if (const auto* queue = queues_.find(job.specification.queue))
    {
        out.queue = &queue->terms;
        out.is_unrouted = !queue->is_configured;
        out.estimate_factor = speeds_.estimate_factor(job.specification.queue);
        out.objective_ms =
            objective_of(job.specification, queue->terms, out.estimate_factor);
        if (const auto& advice = queue->terms.advice)
            out.advice_ms = std::int64_t(advice->base_ms +
                                         advice->per_host_ms * hosts_in_query);
    }
    const auto account =
        configuration_.accounts.find(job.specification.account);
    if (account != configuration_.accounts.end())
        out.maximum = &account->second.maximum;
    return out;
}

policy::waiting_step planner::urgency_inputs(job_run& job) const
{
    if (job.remaining_chain_ms < 0)
    {
        const auto& tasks = job.record.open.front().tasks;
        job.remaining_chain_ms =
            longest_chain(job.specification.steps, 0,
                          [&](std::size_t it)
                          {
                              return !jobs::is_step_done(tasks[it]);
                          });
    }
    policy::waiting_step out;
    out.priority = job.context.queue->priority;
    out.remaining_chain_ms = std::int64_t(double(job.remaining_chain_ms) *
                                          job.context.estimate_factor);
    const auto objective = job.context.objective_ms;
    const auto age =
        std::chrono::duration_cast<milliseconds>(clock_.now() - job.arrived)
            .count();
    out.time_to_objective_ms = objective - age;
    out.time_to_late_deadline_ms = policy::late_factor * objective - age;
    out.over_share = job.specification.over_share;
    return out;
}

std::int64_t planner::start_delay_of(const job_run& job,
                                     const step_run& step) const
{
    const bool has_tickets = step.tickets_until > clock_.now() + ticket_reserve;
    return order_delay_ms + (has_tickets ? 0 : job.context.advice_ms);
}

bool planner::is_parked(const job_run& job) const
{
    return job.parked_until > clock_.now() &&
           is_busy(job.context.queue->service);
}

std::vector<planner::ready_step>
planner::collect_ready_steps(std::vector<ready_step>& at_maximum)
{
    std::vector<ready_step> out;
    const auto now = clock_.now();
    for (auto& [name, usage] : accounts_)
        usage.waiting_surplus = 0;
    for (const auto& [number, active] : active_)
    {
        auto& job = *active;
        const auto* queue = context_of(job).queue;
        round_.unrouted_jobs += job.context.is_unrouted ? 1 : 0;
        round_.unknown_queue_jobs += queue == nullptr ? 1 : 0;
        // No start of a suspended job can become durable.
        if (queue == nullptr || job.rejected_until)
            continue;
        if (job.specification.over_share &&
            job.record.state == jobs::job_state::queued)
        {
            ++job.context.usage->waiting_surplus;
            ++round_.surplus_jobs;
        }
        if (is_parked(job))
        {
            ++round_.parked_jobs;
            continue;
        }
        // Occurrences that are still to come can earn.
        bool can_earn = job.specification.occurrences > 0;
        bool is_waiting = false;
        open_due_occurrences(job);
        if (job.record.open.empty())
            continue;
        auto inputs = urgency_inputs(job);
        for (std::size_t at = 0; at < job.record.open.size(); ++at)
        {
            const auto& tasks = job.record.open[at].tasks;
            for (std::size_t it = 0; it < tasks.size(); ++it)
            {
                const auto& spec = job.specification.steps[it];
                const int waiting = count_waiting(tasks[it]);
                const bool whole = std::size_t(waiting) == tasks[it].size();
                if (waiting == 0 || (spec.is_gang && !whole) ||
                    job.steps[at][it].not_before > now)
                    continue;
                const bool blocked = std::any_of(
                    spec.after.begin(), spec.after.end(),
                    [&](int earlier)
                    {
                        return !jobs::is_step_done(tasks[std::size_t(earlier)]);
                    });
                if (blocked)
                    continue;
                // Steps of an account at its maximum are left out: they can
                // neither start nor use advice, however large the backlog is.
                inputs.long_running = spec.long_running;
                inputs.start_delay_ms = start_delay_of(job, job.steps[at][it]);
                is_waiting = true;
                can_earn |= policy::value_class_of(inputs) !=
                            policy::value_class::past_late_deadline;
                const ready_step step{&job,
                                      at,
                                      int(it),
                                      queue,
                                      waiting,
                                      inputs,
                                      policy::urgency_of(inputs)};
                if (tasks_within_maximum(job, spec.size) > 0)
                {
                    out.push_back(step);
                    continue;
                }
                ++round_.at_maximum;
                hold_back(step, hold_reason::account_at_maximum);
                at_maximum.push_back(step);
            }
        }
        if (is_waiting && !can_earn)
            job.parked_until = now + parked_interval;
    }
    std::stable_sort(out.begin(), out.end(),
                     [](const auto& left, const auto& right)
                     {
                         return left.urgency < right.urgency;
                     });
    return out;
}

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
    const auto& used = context.usage->used;
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
    order.checkpoint = record.checkpoint;
    order.worker_incarnation_start_ms = host.incarnation_start_ms;
    order.uses_suspect_host = where.is_quarantined;
    if (where.ticket != nullptr)
    {
        order.ticket = where.ticket->ticket;
        order.ticket_expires = where.ticket->expires;
    }
    job.starts.push_back(std::move(order));
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
