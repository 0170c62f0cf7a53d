#include "share_meter.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace mustardwick::bench
{

namespace
{

/// @brief Returns the largest fraction of any resource that the amount uses.
double max_ratio(const policy::resources& amount,
                 const policy::resources& capacity)
{
    const auto ratio = [](std::int64_t a, std::int64_t b)
    {
        return b > 0 ? double(a) / double(b) : 0.0;
    };
    return std::max({ratio(amount.millicpus, capacity.millicpus),
                     ratio(amount.memory_mb, capacity.memory_mb),
                     ratio(amount.accelerators, capacity.accelerators)});
}

/// @brief Returns the total allocation if each team gets up to level times its
/// weight, within its demand.
double total_allocation(const std::map<std::string, team_demand>& teams,
                        std::size_t stage, double level)
{
    double sum = 0;
    for (const auto& [name, it] : teams)
        sum += std::clamp(level * it.weight, it.fair_share,
                          it.fair_share + it.wanted[stage]);
    return sum;
}

/// @brief Allocates the remaining supply to the jobs of one class; finds the
/// level of the allocation by bisection.
void allocate_stage(std::map<std::string, team_demand>& teams,
                    std::size_t stage, double supply)
{
    double low = 0;
    double high = 2;
    for (int i = 0; i < 40; ++i)
    {
        const auto middle = (low + high) / 2;
        (total_allocation(teams, stage, middle) <= supply ? low : high) =
            middle;
    }
    for (auto& [name, it] : teams)
        it.fair_share = std::clamp(low * it.weight, it.fair_share,
                                   it.fair_share + it.wanted[stage]);
}

/// @brief Returns the position in team_demand::wanted: services first, then the
/// priority classes, most urgent first.
std::size_t stage_of(const policy::job& it)
{
    if (it.kind == policy::work_kind::service)
        return 0;
    return 3 - std::size_t(it.priority);
}

} // namespace

void allocate_fairly(std::map<std::string, team_demand>& teams, double supply)
{
    for (std::size_t stage = 0; stage < 4; ++stage)
        allocate_stage(teams, stage, supply);
}

void share_meter::sample(const policy::cell& state)
{
    const auto capacity = state.total_capacity();
    std::map<std::string, team_demand> teams;
    std::set<std::string> waiting;
    for (const auto& [id, job] : state.jobs())
    {
        const auto one = max_ratio(job.size, capacity);
        teams[job.team].wanted[stage_of(job)] += one * state.pending(id);
        if (state.pending(id) > 0)
            waiting.insert(job.team);
    }
    if (waiting.size() < 2)
        return;
    double supply = 0;
    for (const auto& [id, task] : state.running())
    {
        const auto& job = *state.find_job(id.job);
        const auto one = max_ratio(job.size, capacity);
        teams[job.team].wanted[stage_of(job)] += one;
        teams[job.team].used += one;
        supply += one;
    }
    for (auto& [name, it] : teams)
        it.weight = double(state.team_of(name).share);
    allocate_fairly(teams, supply);
    double weights = 0;
    for (const auto& [name, it] : teams)
        weights += it.weight;
    for (const auto& [name, it] : teams)
        distances_[name].push_back(std::abs(it.used - it.fair_share) * weights /
                                   it.weight / supply);
    sample_packing(state);
}

void share_meter::sample_packing(const policy::cell& state)
{
    policy::resources used;
    policy::resources open;
    for (const auto& [name, host] : state.hosts())
    {
        if (!host.accepts_work)
            continue;
        used += state.used(name);
        open += host.capacity;
    }
    packing_.push_back(max_ratio({used.millicpus, used.memory_mb, 0}, open));
}

void share_meter::report(outcome& result) const
{
    std::vector<double> all;
    for (const auto& [name, samples] : distances_)
    {
        result.distance_by_team[name] = mean_of(samples);
        all.push_back(mean_of(samples));
    }
    result.distance = mean_of(all);
    result.packing = mean_of(packing_);
}

} // namespace mustardwick::bench
