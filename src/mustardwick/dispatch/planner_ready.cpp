#include <algorithm>

#include "mustardwick/dispatch/planner.hpp"
#include "mustardwick/policy/urgency.hpp"
#include "ready_step.hpp"

namespace mustardwick::dispatch
{

namespace
{

using std::chrono::milliseconds;

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
    {
        usage.waiting_surplus = 0;
        usage.outstanding = {};
    }
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
        if (may_have_outstanding_orders_)
            count_outstanding_orders(job);
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

} // namespace mustardwick::dispatch
