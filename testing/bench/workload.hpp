#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mustardwick/policy/types.hpp"

namespace mustardwick::bench
{

using policy::milliseconds;
using policy::steady_time;

/// @brief The size and load of one deployment.
struct deployment
{
    std::string name;
    /// Added to the seed, so that deployments of one shape differ in work.
    std::uint64_t seed_offset = 0;
    int hosts = 0;
    int domains = 0;
    int hosts_per_rack = 8;
    int hosts_with_accelerators = 0;
    int teams = 0;
    /// Teams with a larger share and more work than the others.
    int large_teams = 0;
    /// Work that arrives in proportion to the capacity.
    double load = 0.9;
    milliseconds length{0};
    /// One failure domain leaves, dies a little later and returns.
    milliseconds drain_time{0};
    milliseconds outage_time{0};
    milliseconds return_time{0};
    /// Part of the waiting jobs canceled at one moment.
    double canceled = 0.1;
    /// Weights of the score: waiting, share, packing, work during the outage.
    double weight_waiting = 0;
    double weight_share = 0;
    double weight_packing = 0;
    double weight_outage = 0;
};

deployment deployment_a();
deployment deployment_b();
deployment two_year_size();

/// @brief A job with the run times that its tasks really have.
struct simulated_job
{
    policy::job declared;
    std::vector<milliseconds> run_times;
    /// Time between checkpoints; zero when the tasks have none.
    milliseconds checkpoint_interval{0};
};

struct workload
{
    std::vector<policy::host> hosts;
    std::vector<policy::team> teams;
    /// Ordered by submission.
    std::vector<simulated_job> jobs;
};

/// @brief Draws the hosts, teams and jobs of a deployment from a seed.
workload generate_workload(const deployment& shape, std::uint64_t seed);

} // namespace mustardwick::bench
