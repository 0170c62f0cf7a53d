#include "merge.hpp"

namespace mustardwick::bench
{

namespace
{

template <typename Field>
double mean_field(const std::vector<outcome>& all, Field field)
{
    std::vector<double> samples;
    samples.reserve(all.size());
    for (const auto& it : all)
        samples.push_back(double(it.*field));
    return mean_of(samples);
}

void add(quantiles& sum, const quantiles& it, double weight)
{
    sum.count += it.count;
    sum.p50 += it.p50 * weight;
    sum.p99 += it.p99 * weight;
    sum.max += it.max * weight;
    sum.mean += it.mean * weight;
}

void add(double& sum, double it, double weight)
{
    sum += it * weight;
}

/// @brief Averages each entry over the outcomes that contain it.
template <typename Map>
void merge_maps(const std::vector<outcome>& all, Map outcome::*field,
                outcome& result)
{
    std::map<std::string, int> counts;
    for (const auto& it : all)
        for (const auto& [name, entry] : it.*field)
            ++counts[name];
    for (const auto& it : all)
        for (const auto& [name, entry] : it.*field)
            add((result.*field)[name], entry, 1.0 / counts[name]);
}

} // namespace

outcome merge(const std::vector<outcome>& all)
{
    outcome result;
    result.planner = all.front().planner;
    merge_maps(all, &outcome::waiting_by_class, result);
    merge_maps(all, &outcome::waiting_by_team, result);
    merge_maps(all, &outcome::distance_by_team, result);
    for (const auto& it : all)
    {
        add(result.waiting_of_gangs, it.waiting_of_gangs, 1.0 / all.size());
        add(result.round_us, it.round_us, 1.0 / all.size());
    }
    result.packing = mean_field(all, &outcome::packing);
    result.distance = mean_field(all, &outcome::distance);
    result.outage_work = mean_field(all, &outcome::outage_work);
    result.outage_services = mean_field(all, &outcome::outage_services);
    result.lost_work = mean_field(all, &outcome::lost_work);
    result.score = mean_field(all, &outcome::score);
    result.started = std::size_t(mean_field(all, &outcome::started));
    result.removed = std::size_t(mean_field(all, &outcome::removed));
    result.rejected = std::size_t(mean_field(all, &outcome::rejected));
    result.unstarted = std::size_t(mean_field(all, &outcome::unstarted));
    return result;
}

} // namespace mustardwick::bench
