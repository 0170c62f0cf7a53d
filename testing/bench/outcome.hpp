#pragma once

#include <map>
#include <string>

#include "samples.hpp"

namespace mustardwick::bench
{

/// @brief What one planner achieved with one workload.
struct outcome
{
    std::string planner;
    /// Seconds from submission to the start, by class and by team.
    std::map<std::string, quantiles> waiting_by_class;
    std::map<std::string, quantiles> waiting_by_team;
    quantiles waiting_of_gangs;
    /// Used part of the capacity while work waits.
    double packing = 0;
    /// Mean distance of a team's usage from its fair part, in parts of its
    /// weighted share of the cell, while work of several teams waits.
    std::map<std::string, double> distance_by_team;
    double distance = 0;
    /// Useful work during the outage, as a part of what was possible.
    double outage_work = 0;
    /// Part of the wanted service replicas that ran during the outage.
    double outage_services = 0;
    /// Batch work that was lost with stopped tasks, as a part of the work done.
    double lost_work = 0;
    std::size_t started = 0;
    std::size_t removed = 0;
    std::size_t rejected = 0;
    std::size_t unstarted = 0;
    /// Microseconds for one round of decisions.
    quantiles round_us;
    double score = 0;
};

} // namespace mustardwick::bench
