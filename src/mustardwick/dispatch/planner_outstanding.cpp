#include <algorithm>

#include "mustardwick/base/log.hpp"
#include "mustardwick/dispatch/planner.hpp"
#include "ready_step.hpp"

namespace mustardwick::dispatch
{

namespace
{

using std::chrono::milliseconds;

/// A report shows its worker as of at most this long before it arrives.
constexpr milliseconds max_report_age{3000};

} // namespace

void planner::keep_outstanding_order(host_state& host, const running& it)
{
    auto* step = find_step(it.task);
    if (!it.outstanding_until || step == nullptr)
        return;
    host.lost_orders_until =
        std::max(host.lost_orders_until, *it.outstanding_until);
    add_outstanding_order(
        *step, it.task.index,
        {host.index, *it.outstanding_until, it.stored_in, false});
}

void planner::add_outstanding_order(step_run& step, int index,
                                    const outstanding_order& order)
{
    const auto [it, added] = step.outstanding.emplace(index, order);
    if (added)
        return;
    // A task with an outstanding order is assigned to no other worker.
    it->second.until = std::max(it->second.until, order.until);
    it->second.stored_in = std::min(it->second.stored_in, order.stored_in);
    it->second.is_inherited &= order.is_inherited;
}

bool planner::is_outstanding_on(const jobs::task_key& task,
                                const host_state& host)
{
    const auto* step = find_step(task);
    if (step == nullptr)
        return false;
    const auto it = step->outstanding.find(task.index);
    return it != step->outstanding.end() && it->second.host == host.index;
}

bool planner::has_other_run(const host_state& host, const jobs::task_key& task,
                            int run)
{
    auto it = host.runs.lower_bound({task, 0});
    for (; it != host.runs.end() && it->first.first == task; ++it)
        if (it->first.second != run)
            return true;
    return false;
}

bool planner::had_ticket(job_run& job, const outstanding_order& order)
{
    const auto* queue = context_of(job).queue;
    return order.is_inherited && queue != nullptr && queue->advice;
}

bool planner::is_settled(job_run& job, const jobs::task_key& task, int run,
                         const outstanding_order& order)
{
    if (had_ticket(job, order))
        return true;
    const auto now = clock_.now();
    const auto* host = host_at_[order.host];
    if (host == nullptr)
        return now > order.until + longest_lease();
    if (has_other_run(*host, task, run))
        return false;
    if (host->reachable && host->reported &&
        *host->reported > order.until + max_report_age)
        return true;
    return now > std::max(order.until, host->calls_until) + longest_lease();
}

bool planner::has_outstanding_orders(const ready_step& step)
{
    auto& outstanding = step.state().outstanding;
    if (outstanding.empty())
        return false;
    bool found = false;
    for (auto it = outstanding.begin(); it != outstanding.end();)
    {
        auto& record = step.tasks()[std::size_t(it->first)];
        const bool is_waiting = record.state == jobs::task_state::waiting;
        const jobs::task_key key{step.job->specification.id, step.occurrence(),
                                 step.step, it->first};
        if (!is_waiting || !is_settled(*step.job, key, 0, it->second))
        {
            found = found || is_waiting;
            ++it;
            continue;
        }
        record.worker.clear();
        it = outstanding.erase(it);
    }
    return found;
}

bool planner::place_beside_outstanding(const ready_step& step,
                                       std::vector<candidate> allowed,
                                       int affordable)
{
    auto& tasks = step.tasks();
    const auto& outstanding = step.state().outstanding;
    std::vector<std::pair<int, const candidate*>> chosen;
    const auto place = [&](int index, const auto& may_use)
    {
        if (tasks[std::size_t(index)].state != jobs::task_state::waiting ||
            chosen.size() >= std::size_t(affordable))
            return;
        const auto it =
            std::find_if(allowed.begin(), allowed.end(),
                         [&](const candidate& where)
                         {
                             return where.slots > 0 && may_use(*where.host);
                         });
        if (it == allowed.end())
            return;
        --it->slots;
        chosen.emplace_back(index, &*it);
    };
    for (const auto& [index, order] : outstanding)
        place(index,
              [&, host = order.host, task = index](const host_state& where)
              {
                  return where.index == host &&
                         !has_other_run(where,
                                        {step.job->specification.id,
                                         step.occurrence(), step.step, task},
                                        0);
              });
    const auto tied = chosen.size();
    int movable = 0;
    for (int index = 0; index < int(tasks.size()); ++index)
    {
        if (outstanding.contains(index) ||
            tasks[std::size_t(index)].state != jobs::task_state::waiting)
            continue;
        ++movable;
        place(index,
              [](const host_state&)
              {
                  return true;
              });
    }
    const bool lacks_capacity =
        int(chosen.size() - tied) < movable && int(chosen.size()) < affordable;
    if (chosen.empty() ||
        (step.spec().is_gang && chosen.size() < std::size_t(step.waiting)))
    {
        hold_back(step, lacks_capacity ? hold_reason::without_capacity
                                       : hold_reason::order_outstanding);
        return !lacks_capacity;
    }
    int run = 0;
    for (const auto& it : tasks)
        run = std::max(run, it.run);
    for (const auto& [index, where] : chosen)
        assign(step, index,
               step.spec().is_gang ? run + 1
                                   : tasks[std::size_t(index)].run + 1,
               *where);
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
    if (const auto* step = find_step(it.task))
    {
        const auto order = step->outstanding.find(it.task.index);
        if (order != step->outstanding.end() &&
            order->second.host == host.index &&
            !had_ticket(*find_job(it.task.job), order->second))
            until = std::max(until.value_or(time_point()), order->second.until);
    }
    if (!until)
        return host.lease_bound;
    return std::max(host.lease_bound,
                    std::max(*until, host.calls_until) + longest_lease());
}

std::int64_t planner::settled_version()
{
    std::int64_t out = stored_version_ + 1;
    for (const auto& [id, host] : hosts_)
        for (const auto& [key, it] : host.runs)
            if (it.outstanding_until)
                out = std::min(out, it.stored_in);
    for (const auto& [number, job] : active_)
        for (std::size_t at = 0; at < job->steps.size(); ++at)
            for (std::size_t step = 0; step < job->steps[at].size(); ++step)
                out = std::min(out, settled_version_of(*job, at, int(step)));
    return out;
}

std::int64_t planner::settled_version_of(job_run& job, std::size_t position,
                                         int step)
{
    std::int64_t out = stored_version_ + 1;
    auto& outstanding = job.steps[position][std::size_t(step)].outstanding;
    const auto& open = job.record.open[position];
    std::erase_if(
        outstanding,
        [&](const auto& it)
        {
            const auto& [index, order] = it;
            const auto& record =
                open.tasks[std::size_t(step)][std::size_t(index)];
            const bool is_assigned = record.state == jobs::task_state::assigned;
            const jobs::task_key key{job.specification.id, open.number, step,
                                     index};
            if (is_assigned && is_settled(job, key, record.run, order))
                return true;
            out = std::min(out, order.stored_in);
            return false;
        });
    return out;
}

void planner::settle_inherited_orders(std::int64_t settled)
{
    for (const auto& [number, job] : active_)
        for (auto& steps : job->steps)
            for (auto& step : steps)
                std::erase_if(step.outstanding,
                              [&](const auto& it)
                              {
                                  return it.second.is_inherited &&
                                         it.second.stored_in < settled;
                              });
}

} // namespace mustardwick::dispatch
