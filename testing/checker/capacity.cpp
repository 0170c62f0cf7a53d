#include <algorithm>
#include <limits>
#include <map>

#include "testing/checker/promises.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr event_time never = std::numeric_limits<event_time>::max();

/// The start or the end of a task or request, with the capacity that it uses.
struct usage_change
{
    event_time at = 0;
    bool is_start = false;
    amounts size;
    std::int64_t requests = 0;

    /// Ends sort before starts of the same time: the two do not overlap.
    bool operator<(const usage_change& other) const
    {
        return at != other.at ? at < other.at : is_start < other.is_start;
    }
};

using usage_change_lists = std::map<std::string, std::vector<usage_change>>;

void add(std::vector<usage_change>& list, event_time start,
         std::optional<event_time> end, const amounts& size,
         std::int64_t requests)
{
    list.push_back({start, true, size, requests});
    list.push_back({end.value_or(never), false, size, requests});
}

/// Calls the function after each start, with the total usage at that time.
template <typename Function>
void sweep(std::vector<usage_change>& list, Function&& after_start)
{
    std::sort(list.begin(), list.end());
    amounts sum;
    std::int64_t requests = 0;
    for (const auto& it : list)
    {
        if (!it.is_start)
        {
            sum -= it.size;
            requests -= it.requests;
            continue;
        }
        sum += it.size;
        requests += it.requests;
        after_start(it, sum, requests);
    }
}

std::string text(const amounts& value)
{
    return std::to_string(value.millicpus) + " millicpus, " +
           std::to_string(value.memory_mb) + " MB, " +
           std::to_string(value.accelerators) + " accelerators";
}

bool within(const amounts& sum, std::int64_t requests, const amounts& limit,
            std::int64_t request_limit)
{
    return sum.fits(limit) && requests <= request_limit;
}

std::string describe_excess(const std::string& name, const amounts& sum,
                            std::int64_t requests)
{
    return name + " runs " + text(sum) + ", " + std::to_string(requests) +
           " requests";
}

/// Returns whether limits apply at a time and the usage exceeds each of them.
///
/// A replaced limit still applies during the margin. So a lowered limit is
/// enforced only after the margin, a raised one at once.
bool exceeds_limits(const std::vector<team_limit>& limits, event_time at,
                    event_time margin, const amounts& sum,
                    std::int64_t requests)
{
    bool any = false;
    for (std::size_t n = 0; n < limits.size(); ++n)
    {
        const bool started = limits[n].from <= at;
        const bool last = n + 1 == limits.size();
        const bool over = !last && limits[n + 1].from + margin < at;
        if (!started || over)
            continue;
        any = true;
        if (within(sum, requests, limits[n].resources, limits[n].requests))
            return false;
    }
    return any;
}

std::map<std::string, std::string> teams_of_echoes(const evidence& seen)
{
    std::map<std::string, std::string> out;
    for (const auto& it : seen.calls)
        out[it.echo] = it.team;
    return out;
}

usage_change_lists usage_changes_by_team(const evidence& seen, violations& out)
{
    usage_change_lists lists;
    for (const auto& it : seen.tasks)
    {
        const auto team = seen.team_of_job.find(it.job);
        if (team != seen.team_of_job.end())
            add(lists[team->second], it.start, it.end, it.size, 0);
        else
            out.push_back({"P4", "no team known for job " + it.job, it.start});
    }
    const auto teams = teams_of_echoes(seen);
    for (const auto& it : seen.requests)
    {
        const auto team = teams.find(it.echo);
        if (team != teams.end())
            add(lists[team->second], it.start, it.end, {}, 1);
        else
            out.push_back({"P4", "no call known for " + it.echo, it.start});
    }
    return lists;
}

} // namespace

violations check_capacity(const evidence& seen)
{
    usage_change_lists lists;
    for (const auto& it : seen.tasks)
        add(lists[it.worker], it.start, it.end, it.size, 0);
    for (const auto& it : seen.requests)
        add(lists[it.worker], it.start, it.end, {}, 1);
    violations out;
    for (auto& entry : lists)
    {
        const auto& name = entry.first;
        const auto host = seen.hosts.find(name);
        if (host == seen.hosts.end())
        {
            out.push_back({"P1", "no capacity known for " + name, 0});
            continue;
        }
        const auto& facts = host->second;
        sweep(entry.second,
              [&](const usage_change& it, const amounts& sum,
                  std::int64_t requests)
              {
                  if (!within(sum, requests, facts.capacity, facts.slots))
                      out.push_back(
                          {"P1", describe_excess(name, sum, requests), it.at});
              });
    }
    return out;
}

violations check_team_limits(const evidence& seen, const margins& allowed)
{
    violations out;
    auto lists = usage_changes_by_team(seen, out);
    for (auto& entry : lists)
    {
        const auto& team = entry.first;
        const auto limits = seen.limits.find(team);
        if (limits == seen.limits.end())
            continue;
        sweep(entry.second,
              [&](const usage_change& it, const amounts& sum,
                  std::int64_t requests)
              {
                  if (exceeds_limits(limits->second, it.at,
                                     allowed.limit_lowered, sum, requests))
                      out.push_back(
                          {"P4", describe_excess("team " + team, sum, requests),
                           it.at});
              });
    }
    return out;
}

} // namespace mustardwick::testing
