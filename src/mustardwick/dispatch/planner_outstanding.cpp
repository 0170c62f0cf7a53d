#include <algorithm>
#include <utility>

#include "mustardwick/dispatch/call_times.hpp"
#include "mustardwick/dispatch/planner.hpp"
#include "ready_step.hpp"

namespace mustardwick::dispatch
{

namespace
{

/// Calls visit(job, position, step) for each step with outstanding orders.
template <typename Jobs, typename Visit>
void for_each_outstanding_step(const Jobs& jobs, Visit visit)
{
    for (const auto& [number, job] : jobs)
        for (std::size_t at = 0; at < job->steps.size(); ++at)
            for (std::size_t step = 0; step < job->steps[at].size(); ++step)
                if (!job->steps[at][step].outstanding.empty())
                    visit(*job, at, int(step));
}

jobs::task_key key_of(const job_run& job, std::size_t position, int step,
                      int index)
{
    return {job.specification.id, job.record.open[position].number, step,
            index};
}

} // namespace

void planner::keep_outstanding_order(host_state& host, const running& it)
{
    auto* step = find_step(it.task);
    if (!it.outstanding_until || step == nullptr)
        return;
    host.lost_orders_until =
        std::max({host.lost_orders_until, *it.outstanding_until,
                  clock_.now() + options_.max_delivery_delay});
    add_outstanding_order(*step, it.task.index,
                          {host.info.id, *it.outstanding_until, it.stored_in});
}

void planner::add_outstanding_order(step_run& step, int index,
                                    const outstanding_order& order)
{
    may_have_outstanding_orders_ = true;
    // A successor has one bound for all workers, whose renewals must not be
    // made to end together.
    if (!order.is_inherited)
        host_of(order.worker).order_bounds.insert(order.until);
    const auto [it, added] = step.outstanding.emplace(index, order);
    if (added)
        return;
    it->second.worker = order.worker;
    it->second.until = std::max(it->second.until, order.until);
    it->second.stored_in = std::min(it->second.stored_in, order.stored_in);
    it->second.is_inherited &= order.is_inherited;
}

outstanding_order* planner::outstanding_order_on(const host_state& host,
                                                 const jobs::task_key& task)
{
    auto* step = find_step(task);
    if (step == nullptr)
        return nullptr;
    const auto it = step->outstanding.find(task.index);
    return it != step->outstanding.end() && it->second.worker == host.info.id
               ? &it->second
               : nullptr;
}

void planner::order_took_effect(const host_state& host,
                                const jobs::task_key& task, int run)
{
    const auto* record = find_task(task);
    if (record == nullptr || record->run != run ||
        outstanding_order_on(host, task) == nullptr)
        return;
    // Several orders of one run may be outstanding for a task that lasts.
    const auto& spec = find_job(task.job)->specification;
    if (!spec.steps[std::size_t(task.step)].long_running)
        find_step(task)->outstanding.erase(task.index);
}

void planner::order_answered_late(host_state& host, const start_order& order)
{
    const auto* record = find_task(order.task);
    auto* outstanding = outstanding_order_on(host, order.task);
    if (record == nullptr || record->run != order.run ||
        outstanding == nullptr || outstanding->is_inherited ||
        find_job(order.task.job)
            ->specification.steps[std::size_t(order.task.step)]
            .long_running)
        return;
    outstanding->until = std::min(outstanding->until, clock_.now());
    host.order_bounds.insert(outstanding->until);
}

bool planner::has_run(const host_state& host, const jobs::task_key& task,
                      int except)
{
    auto it = host.runs.lower_bound({task, 0});
    for (; it != host.runs.end() && it->first.first == task; ++it)
        if (it->first.second != except)
            return true;
    return false;
}

bool planner::had_ticket(job_run& job, const outstanding_order& order)
{
    const auto* queue = context_of(job).queue;
    return order.is_inherited && queue != nullptr && queue->advice;
}

bool planner::is_settled(const jobs::task_key& task, int run,
                         const outstanding_order& order) const
{
    const auto now = clock_.now();
    const auto found = hosts_.find(order.worker);
    if (found == hosts_.end())
        return now > order.until + longest_lease();
    const auto& host = found->second;
    if (has_run(host, task, run))
        return false;
    if (host.reachable && host.listed_all && *host.listed_all > order.until)
        return true;
    return now > std::max(order.until, host.calls_until) + longest_lease();
}

void planner::drop_settled_orders_of(job_run& job, std::size_t position,
                                     int step)
{
    auto& outstanding = job.steps[position][std::size_t(step)].outstanding;
    auto& open = job.record.open[position];
    std::erase_if(
        outstanding,
        [&](const auto& it)
        {
            auto& record = open.tasks[std::size_t(step)][std::size_t(it.first)];
            const bool is_waiting = record.state == jobs::task_state::waiting;
            const bool settled =
                record.state == jobs::task_state::done ||
                had_ticket(job, it.second) ||
                is_settled(key_of(job, position, step, it.first),
                           is_waiting ? no_run : record.run, it.second);
            if (settled && is_waiting)
                record.worker.clear();
            return settled;
        });
}

bool planner::has_outstanding_orders(const ready_step& step)
{
    const auto& outstanding = step.state().outstanding;
    if (outstanding.empty())
        return false;
    drop_settled_orders_of(*step.job, step.position, step.step);
    return std::any_of(outstanding.begin(), outstanding.end(),
                       [&](const auto& it)
                       {
                           return step.tasks()[std::size_t(it.first)].state ==
                                  jobs::task_state::waiting;
                       });
}

void planner::count_outstanding_orders(job_run& job)
{
    for (std::size_t at = 0; at < job.steps.size(); ++at)
        for (std::size_t step = 0; step < job.steps[at].size(); ++step)
        {
            const auto& spec = job.specification.steps[step];
            // A task that lasts may start again meanwhile.
            if (spec.long_running)
                continue;
            for (const auto& [index, order] : job.steps[at][step].outstanding)
                if (!order.is_inherited &&
                    job.record.open[at].tasks[step][std::size_t(index)].state ==
                        jobs::task_state::waiting)
                    job.context.usage->outstanding += spec.size;
        }
}

bool planner::place_beside_outstanding(const ready_step& step,
                                       std::vector<candidate> allowed,
                                       int affordable)
{
    if (step.spec().is_gang)
    {
        hold_back(step, hold_reason::order_outstanding);
        return true;
    }
    auto& tasks = step.tasks();
    const auto& outstanding = step.state().outstanding;
    int placed = 0;
    bool lacks_capacity = false;
    for (int index = 0; index < int(tasks.size()) && placed < affordable;
         ++index)
    {
        const auto& task = tasks[std::size_t(index)];
        const auto order = outstanding.find(index);
        const bool is_tied = order != outstanding.end();
        if (task.state != jobs::task_state::waiting ||
            (is_tied && !step.spec().long_running))
            continue;
        const jobs::task_key key{step.job->specification.id, step.occurrence(),
                                 step.step, index};
        const auto where = std::find_if(
            allowed.begin(), allowed.end(),
            [&](const candidate& it)
            {
                return it.slots > 0 &&
                       (!is_tied || (it.host->info.id == order->second.worker &&
                                     !has_run(*it.host, key, no_run)));
            });
        if (where == allowed.end())
        {
            lacks_capacity |= !is_tied;
            continue;
        }
        // An incarnation that carries out both orders starts one run.
        const bool repeats = is_tied && !order->second.was_refused;
        assign(step, index, repeats ? task.run : task.run + 1, *where);
        --where->slots;
        ++placed;
    }
    if (placed == 0)
    {
        hold_back(step, lacks_capacity ? hold_reason::without_capacity
                                       : hold_reason::order_outstanding);
        return !lacks_capacity;
    }
    step.state().blocked_since.reset();
    step.state().held.reset();
    mark_dirty(*step.job);
    return !lacks_capacity;
}

std::int64_t planner::acknowledged_unverified(const std::string& id) const
{
    const auto found = hosts_.find(id);
    if (found == hosts_.end() ||
        clock_.now() <= found->second.lost_orders_until)
        return 0;
    for (const auto& [key, it] : found->second.runs)
        if (it.outstanding_until)
            return 0;
    return acknowledged_end(id);
}

planner::time_point planner::latest_end(const host_state& host,
                                        const running& it)
{
    auto until = it.outstanding_until;
    const auto* order = outstanding_order_on(host, it.task);
    if (order != nullptr && !had_ticket(*find_job(it.task.job), *order))
        until = std::max(until.value_or(time_point()), order->until);
    if (!until)
        return host.lease_bound;
    return std::max(host.lease_bound,
                    std::max(*until, host.calls_until) + longest_lease());
}

void planner::drop_settled_orders()
{
    if (!std::exchange(may_have_outstanding_orders_, false))
        return;
    for_each_outstanding_step(
        active_,
        [&](job_run& job, std::size_t at, int step)
        {
            drop_settled_orders_of(job, at, step);
            may_have_outstanding_orders_ |=
                !job.steps[at][std::size_t(step)].outstanding.empty();
        });
}

settled_orders
planner::settled(const std::optional<to_store_clock>& to_store) const
{
    settled_orders out;
    out.version = stored_version_ + 1;
    auto oldest = out.version;
    struct bound
    {
        time_point until;
        /// What it is counted from, on this host's clock.
        time_point from;
    };
    std::map<jobs::task_key, bound> bounds;
    const auto add = [&](const jobs::task_key& task, time_point until,
                         time_point from, std::int64_t stored_in)
    {
        oldest = std::min(oldest, stored_in);
        auto& latest = bounds[task];
        latest = {std::max(latest.until, until), std::max(latest.from, from)};
    };
    // An order is sent by then, if it is not answered earlier.
    const auto sent = [this](time_point until)
    {
        return until - options_.max_delivery_delay;
    };
    for (const auto& [id, host] : hosts_)
        for (const auto& [key, it] : host.runs)
            if (it.outstanding_until)
                add(key.first, *it.outstanding_until,
                    sent(*it.outstanding_until), it.stored_in);
    if (may_have_outstanding_orders_)
        for_each_outstanding_step(
            active_,
            [&](const job_run& job, std::size_t at, int step)
            {
                for (const auto& [index, order] :
                     job.steps[at][std::size_t(step)].outstanding)
                    add(key_of(job, at, step, index), order.until,
                        order.is_inherited ? created_ : sent(order.until),
                        order.stored_in);
            });
    if (bounds.size() > max_outstanding_tasks)
    {
        out.version = oldest;
        return out;
    }
    for (const auto& [task, it] : bounds)
    {
        std::optional<std::int64_t> until_ms;
        if (to_store && it.from <= to_store->clock_read)
            until_ms = to_store->convert(it.until);
        out.except.push_back({to_string(task), until_ms});
    }
    return out;
}

void planner::settle_inherited_orders(const settled_orders& settled,
                                      const from_store_clock& from_store)
{
    std::map<std::string, std::optional<std::int64_t>> except;
    for (const auto& it : settled.except)
        except.emplace(it.task, it.until_ms);
    const auto settle = [&](job_run& job, std::size_t at, int step)
    {
        auto& outstanding = job.steps[at][std::size_t(step)].outstanding;
        for (auto it = outstanding.begin(); it != outstanding.end();)
        {
            auto& order = it->second;
            const auto found =
                except.find(to_string(key_of(job, at, step, it->first)));
            const bool is_told =
                order.is_inherited && order.stored_in < settled.version;
            if (is_told && found == except.end())
            {
                it = outstanding.erase(it);
                continue;
            }
            if (is_told && found->second)
            {
                order.until =
                    std::min(order.until,
                             from_store(*found->second).value_or(order.until));
                host_of(order.worker).order_bounds.insert(order.until);
            }
            ++it;
        }
    };
    for_each_outstanding_step(active_, settle);
}

} // namespace mustardwick::dispatch
