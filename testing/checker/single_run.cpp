#include <algorithm>
#include <map>

#include "testing/checker/promises.hpp"

namespace mustardwick::testing
{

namespace
{

using task_id = std::pair<std::string, std::int64_t>;

bool overlaps(const task_run& first, const task_run& second)
{
    return !first.end || *first.end > second.start;
}

std::string name_of(const task_run& it)
{
    return it.job + '/' + std::to_string(it.index) + " attempt " + it.attempt +
           " on " + it.worker;
}

/// Returns whether the worker restarted between two runs. A restarted process
/// does not know which attempts the previous one started, so an attempt may
/// start once in each of them.
bool restarted_between(const evidence& seen, const task_run& first,
                       const task_run& second)
{
    const auto it = seen.worker_starts.find(second.worker);
    return first.worker == second.worker && it != seen.worker_starts.end() &&
           std::any_of(it->second.begin(), it->second.end(),
                       [&](event_time at)
                       {
                           return at > first.start && at <= second.start;
                       });
}

void check_runs(std::vector<const task_run*>& runs, violations& out)
{
    std::sort(runs.begin(), runs.end(),
              [](const task_run* a, const task_run* b)
              {
                  return a->start < b->start;
              });
    const task_run* latest_ending = nullptr;
    for (const auto* it : runs)
    {
        if (latest_ending != nullptr && overlaps(*latest_ending, *it))
            out.push_back(
                {"P2", name_of(*it) + " overlaps " + name_of(*latest_ending),
                 it->start});
        const bool later =
            latest_ending == nullptr || !it->end ||
            (latest_ending->end && *latest_ending->end < *it->end);
        if (later)
            latest_ending = it;
    }
}

} // namespace

violations check_single_attempt(const evidence& seen)
{
    violations out;
    std::map<task_id, std::vector<const task_run*>> runs;
    std::map<std::string, const task_run*> attempts;
    for (const auto& it : seen.tasks)
    {
        runs[{it.job, it.index}].push_back(&it);
        const auto*& previous = attempts[it.attempt];
        if (previous != nullptr && !restarted_between(seen, *previous, it))
            out.push_back({"P2", name_of(it) + " started twice", it.start});
        previous = &it;
    }
    for (auto& [id, list] : runs)
        check_runs(list, out);
    return out;
}

violations check_at_most_once(const evidence& seen)
{
    std::map<std::string, const call_record*> calls;
    for (const auto& it : seen.calls)
        calls[it.echo] = &it;
    violations out;
    std::map<std::string, int> runs;
    for (const auto& it : seen.requests)
    {
        const auto call = calls.find(it.echo);
        if (call == calls.end())
        {
            out.push_back({"P8", "no caller sent " + it.echo, it.start});
            continue;
        }
        if (call->second->idempotent)
            continue;
        const auto& id = call->second->id;
        if (++runs[call->second->team + '/' + id] > 1)
            out.push_back({"P8", "request " + id + " ran again", it.start});
    }
    return out;
}

} // namespace mustardwick::testing
