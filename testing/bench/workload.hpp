#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mustardwick/policy/types.hpp"

namespace mustardwick::bench
{

using policy::milliseconds;
using policy::steady_time;

/// @brief The size, load and outage of a simulated deployment.
struct deployment
{
    std::string name;
    /// Added to the seed, so that deployments of the same size get different
    /// workloads.
    std::uint64_t seed_offset = 0;
    int hosts = 0;
    int domains = 0;
    int hosts_per_rack = 8;
    int hosts_with_accelerators = 0;
    int teams = 0;
    /// Teams with a larger share and more jobs than the others.
    int large_teams = 0;
    /// Rate of arriving work, as a fraction of the capacity.
    double load = 0.9;
    milliseconds length{0};
    /// Times at which a failure domain is drained, fails and is restored.
    milliseconds drain_time{0};
    milliseconds outage_time{0};
    milliseconds return_time{0};
    /// Fraction of the waiting jobs that are canceled at once.
    double canceled = 0.1;
    /// Weights of the score; they add up to 1.
    double weight_waiting = 0;
    double weight_share = 0;
    double weight_packing = 0;
    double weight_outage = 0;
};

deployment deployment_a();
deployment deployment_b();
deployment two_year_size();

/// @brief A job and the actual run times of its tasks.
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
    /// Ordered by submission time.
    std::vector<simulated_job> jobs;
};

/// @brief Generates the hosts, teams and jobs of a deployment from a seed.
workload generate_workload(const deployment& shape, std::uint64_t seed);

} // namespace mustardwick::bench
