#include <algorithm>
#include <cmath>

#include "mustardwick/base/log.hpp"
#include "mustardwick/dispatch/planner.hpp"
#include "ready_step.hpp"

namespace mustardwick::dispatch
{

namespace
{

using base::log_event;
using base::log_level;

/// Tails in successive reports describe the same moments.
constexpr std::chrono::milliseconds tail_sample_interval{1000};

/// Tasks of one image behave alike; without an image, those of one step of a
/// queue do.
std::string kind_of(const jobs::job& job, std::size_t step)
{
    const auto& spec = job.steps[step];
    return spec.image.empty() ? job.queue + '/' + std::to_string(step)
                              : spec.image;
}

} // namespace

policy::interference::kind_id planner::kind_id_of(const jobs::job& job,
                                                  int step)
{
    return options_.keeps_apart
               ? interference_.id_of(kind_of(job, std::size_t(step)))
               : policy::interference::unknown_kind;
}

std::vector<policy::interference::kind_id>
planner::neighbours_of(const host_state& host, const running& of)
{
    std::vector<policy::interference::kind_id> out;
    for (const auto& [key, it] : host.runs)
        if (it.phase == run_phase::started && key != run_key{of.task, of.run} &&
            std::find(out.begin(), out.end(), it.kind) == out.end())
            out.push_back(it.kind);
    return out;
}

void planner::record_slowdown(const host_state& host, const running& it,
                              double log_slowdown)
{
    if (!options_.keeps_apart)
        return;
    const auto before = interference_.believed();
    interference_.record(it.kind, neighbours_of(host, it), log_slowdown);
    if (interference_.believed() == before)
        return;
    for (const auto& found : interference_.findings())
        log_event(log_level::info, "planner", "interference",
                  {{"victim", interference_.name_of(found.victim)},
                   {"neighbour", interference_.name_of(found.neighbour)},
                   {"slowdown_percent",
                    std::llround(100 * (std::exp(found.log_slowdown) - 1))},
                   {"runs_beside", std::llround(found.samples_beside)}});
    metrics_.set("mustardwick_interfering_pairs",
                 double(interference_.believed()));
}

void planner::sample_tail(const host_state& host, running& it)
{
    const auto now = clock_.now();
    if (!it.is_latency_sensitive() || it.tail_ms <= 0 ||
        now < it.next_tail_sample)
        return;
    it.next_tail_sample = now + tail_sample_interval;
    record_slowdown(host, it,
                    std::log(double(it.tail_ms) / double(it.target_ms)));
}

bool planner::is_disturbed(const host_state& host,
                           policy::interference::kind_id kind) const
{
    if (interference_.believed() == 0)
        return false;
    return std::any_of(host.runs.begin(), host.runs.end(),
                       [&](const auto& entry)
                       {
                           const auto other = entry.second.kind;
                           return interference_.disturbs(other, kind) ||
                                  interference_.disturbs(kind, other);
                       });
}

} // namespace mustardwick::dispatch
