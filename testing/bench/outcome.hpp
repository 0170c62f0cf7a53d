#pragma once

#include <map>
#include <string>

#include "samples.hpp"

namespace mustardwick::bench
{

/// @brief The measurements of one planner under one workload.
struct outcome
{
    std::string planner;
    /// Seconds from submission to task start, by priority class and by team.
    std::map<std::string, quantiles> waiting_by_class;
    std::map<std::string, quantiles> waiting_by_team;
    quantiles waiting_of_gangs;
    /// Used fraction of the capacity while jobs of several teams wait.
    double packing = 0;
    /// Mean absolute difference between a team's usage and its fair share,
    /// relative to its weighted share, while jobs of several teams wait.
    std::map<std::string, double> distance_by_team;
    double distance = 0;
    /// Useful work during the outage, as a fraction of the capacity.
    double outage_work = 0;
    /// Fraction of the desired service replicas that ran during the outage.
    double outage_services = 0;
    /// Batch work lost with stopped tasks, as a fraction of the work done.
    double lost_work = 0;
    std::size_t started = 0;
    std::size_t removed = 0;
    std::size_t rejected = 0;
    std::size_t unstarted = 0;
    /// Microseconds per planning round that placed tasks.
    quantiles round_us;
    double score = 0;
};

} // namespace mustardwick::bench
