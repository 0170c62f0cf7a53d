#include <algorithm>

#include "mustardwick/base/log.hpp"
#include "mustardwick/dispatch/planner.hpp"
#include "ready_step.hpp"

namespace mustardwick::dispatch
{

namespace
{

using base::log_event;
using base::log_level;
using std::chrono::milliseconds;

/// How long a step that uses idle CPU time waits for a host without
/// latency-sensitive tasks.
constexpr milliseconds sharing_delay{1000};
/// A latency-sensitive task accepts a neighbour that uses idle CPU time while
/// its tail latency is below the first share of its target, and until it is
/// above the second.
constexpr double sharing_share = 0.5;
constexpr double protection_share = 0.8;
/// How long a host is avoided after its latency-sensitive tasks had to be
/// protected.
constexpr milliseconds protection_time{15'000};

bool is_close_to_target(const running& it, double share)
{
    return it.is_latency_sensitive() &&
           double(it.tail_ms) > double(it.target_ms) * share;
}

} // namespace

bool planner::may_share_idle_cpu(const host_state& host,
                                 const ready_step& step) const
{
    const auto now = clock_.now();
    const auto& blocked_since = step.state().blocked_since;
    if (!blocked_since || now - *blocked_since < sharing_delay ||
        now < host.idle_cpu_avoid_until)
        return false;
    return std::none_of(host.runs.begin(), host.runs.end(),
                        [&](const auto& entry)
                        {
                            const auto& it = entry.second;
                            // The tail of a task that has just started is not
                            // known yet.
                            const bool is_new =
                                it.is_latency_sensitive() &&
                                (it.phase != run_phase::started ||
                                 now - it.started < healthy_run_time);
                            return it.uses_idle_cpu || is_new ||
                                   is_close_to_target(it, sharing_share);
                        });
}

void planner::protect_targets(host_state& host)
{
    const auto at_risk =
        std::find_if(host.runs.begin(), host.runs.end(),
                     [](const auto& it)
                     {
                         return is_close_to_target(it.second, protection_share);
                     });
    const bool shares =
        std::any_of(host.runs.begin(), host.runs.end(),
                    [](const auto& it)
                    {
                        return it.second.uses_idle_cpu &&
                               it.second.phase != run_phase::stopping;
                    });
    if (at_risk == host.runs.end() || !shares)
        return;
    host.idle_cpu_avoid_until = clock_.now() + protection_time;
    log_event(log_level::info, "planner", "target_protected",
              {{"worker", host.info.id},
               {"task", to_string(at_risk->second.task)},
               {"tail_ms", at_risk->second.tail_ms},
               {"target_ms", at_risk->second.target_ms}});
    stop_idle_cpu_runs(host, "a latency-sensitive task is close to its target");
}

void planner::stop_idle_cpu_runs(host_state& host, std::string_view reason)
{
    std::vector<run_key> recording;
    for (auto& [key, it] : host.runs)
    {
        if (!it.uses_idle_cpu || it.phase == run_phase::stopping)
            continue;
        if (it.phase == run_phase::recording)
            recording.push_back(key);
        else
            stop_run(host, it);
    }
    for (const auto& key : recording)
        run_lost(host, key, reason);
}

} // namespace mustardwick::dispatch
