#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace mustardwick::bench
{

namespace
{

using policy::priority_class;
using policy::resources;
using policy::work_kind;

constexpr std::int64_t host_millicpus = 30'000;
constexpr std::int64_t host_memory_mb = 64'000;
constexpr std::int64_t host_accelerators = 8;

/// Fraction of the capacity that services use from the start.
constexpr double service_share = 0.2;

/// Mean run time of a batch task, in seconds, and sigma of its lognormal
/// distribution.
constexpr double mean_run_time = 20;
constexpr double run_time_sigma = 1.0;

/// Sigma of the lognormal error factor of declared run times.
constexpr double declaration_sigma = 1.0;

class workload_generator
{
public:
    workload_generator(const deployment& shape, std::uint64_t seed)
        : shape_(shape), random_(seed)
    {
    }

    workload generate()
    {
        add_hosts();
        add_teams();
        add_services();
        add_arrivals();
        std::ranges::stable_sort(result_.jobs, {},
                                 [](const auto& it)
                                 {
                                     return it.declared.submitted;
                                 });
        return std::move(result_);
    }

private:
    int random_below(int n)
    {
        return std::uniform_int_distribution<int>(0, n - 1)(random_);
    }

    double random_fraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    double lognormal(double mean, double sigma)
    {
        const auto mu = std::log(mean) - sigma * sigma / 2;
        return std::lognormal_distribution<double>(mu, sigma)(random_);
    }

    void add_hosts()
    {
        for (int i = 0; i < shape_.hosts; ++i)
        {
            const int domain = i % shape_.domains;
            const int rack = i / shape_.domains / shape_.hosts_per_rack;
            const bool accelerated = i < shape_.hosts_with_accelerators;
            result_.hosts.push_back({"host-" + std::to_string(i),
                                     "domain-" + std::to_string(domain),
                                     "rack-" + std::to_string(rack),
                                     {host_millicpus, host_memory_mb,
                                      accelerated ? host_accelerators : 0},
                                     true});
        }
    }

    bool is_large(int team) const
    {
        return team < shape_.large_teams;
    }

    void add_teams()
    {
        for (int i = 0; i < shape_.teams; ++i)
            result_.teams.push_back({"team-" + std::to_string(i),
                                     is_large(i) ? 3 : 1,
                                     {-1, -1, -1}});
    }

    int draw_team()
    {
        // Large teams submit four times as much work as small teams, so that
        // they exceed their share of three to one.
        const int large = 4 * shape_.large_teams;
        const int drawn =
            random_below(large + shape_.teams - shape_.large_teams);
        return drawn < large ? drawn / 4 : drawn - large + shape_.large_teams;
    }

    resources draw_size(bool accelerated)
    {
        static const std::vector<std::int64_t> cpus = {
            500, 1000, 1000, 2000, 2000, 4000, 8000, 12'000};
        const auto millicpus = cpus[random_below(int(cpus.size()))];
        const std::int64_t per_cpu = 512LL << random_below(4);
        return {millicpus,
                std::max<std::int64_t>(millicpus * per_cpu / 1000, 64),
                accelerated ? 1 + random_below(4) : 0};
    }

    simulated_job make_job(work_kind kind, priority_class priority, int tasks,
                           const resources& size, steady_time submitted)
    {
        simulated_job it;
        const auto team = draw_team();
        it.declared.id = "job-" + std::to_string(result_.jobs.size());
        it.declared.team = "team-" + std::to_string(team);
        it.declared.queue = std::string(policy::name_of(kind));
        it.declared.kind = kind;
        it.declared.priority = priority;
        it.declared.size = size;
        it.declared.tasks = tasks;
        it.declared.submitted = submitted;
        return it;
    }

    void add_services()
    {
        const auto wanted = std::int64_t(
            double(shape_.hosts) * double(host_millicpus) * service_share);
        for (std::int64_t sum = 0; sum < wanted;)
        {
            const auto size = resources{2000, 3000, 0};
            const int replicas = 2 + random_below(5);
            auto it = make_job(work_kind::service, priority_class::normal,
                               replicas, size, {});
            it.run_times.assign(replicas, shape_.length * 2);
            sum += size.millicpus * replicas;
            result_.jobs.push_back(std::move(it));
        }
    }

    /// @brief Returns the load at a time. It doubles in a burst that starts
    /// after a third of the run and lasts a tenth of it.
    double load_at(milliseconds time) const
    {
        const auto third = shape_.length / 3;
        const bool burst = time > third && time < third + shape_.length / 10;
        return shape_.load * (burst ? 2.0 : 1.0);
    }

    priority_class draw_priority()
    {
        const auto drawn = random_fraction();
        if (drawn < 0.05)
            return priority_class::urgent;
        return drawn < 0.75 ? priority_class::normal
                            : priority_class::best_effort;
    }

    /// @brief Adds a job and returns the work it needs, in millicpu seconds; 0
    /// if it is larger than every host.
    double add_arrival(milliseconds time)
    {
        const bool gang = random_fraction() < 0.04;
        const bool accelerated =
            shape_.hosts_with_accelerators > 0 && random_fraction() < 0.1;
        const int tasks = gang ? 4 + random_below(13) : 1 + random_below(8);
        auto size = draw_size(accelerated);
        if (random_fraction() < 0.003)
            size.millicpus = 2 * host_millicpus;
        auto it = make_job(gang ? work_kind::gang : work_kind::batch,
                           draw_priority(), tasks, size, steady_time(time));
        const auto mean = lognormal(mean_run_time, run_time_sigma);
        const auto declared = mean * lognormal(1.0, declaration_sigma);
        it.declared.run_time = milliseconds(std::int64_t(declared * 1000));
        if (random_below(2) == 0)
            it.checkpoint_interval = milliseconds(5000);
        double needed = 0;
        for (int i = 0; i < tasks; ++i)
        {
            const auto seconds = lognormal(mean, 0.3);
            it.run_times.emplace_back(std::int64_t(seconds * 1000) + 1);
            needed += seconds * double(size.millicpus);
        }
        result_.jobs.push_back(std::move(it));
        return size.millicpus > host_millicpus ? 0 : needed;
    }

    void add_arrivals()
    {
        const auto supply =
            double(shape_.hosts) * double(host_millicpus) * (1 - service_share);
        double outstanding_work = 0;
        for (milliseconds time{0}; time < shape_.length;
             time += milliseconds(20))
        {
            outstanding_work += supply * 0.02 * load_at(time);
            while (outstanding_work > 0)
                outstanding_work -= add_arrival(time);
        }
    }

    const deployment& shape_;
    std::mt19937_64 random_;
    workload result_;
};

} // namespace

deployment deployment_a()
{
    deployment it;
    it.name = "A";
    it.hosts = 50;
    it.domains = 3;
    it.teams = 6;
    it.large_teams = 2;
    it.load = 0.8;
    it.length = milliseconds(600'000);
    it.drain_time = milliseconds(300'000);
    it.outage_time = milliseconds(330'000);
    it.return_time = milliseconds(400'000);
    it.weight_waiting = 0.4;
    it.weight_share = 0.1;
    it.weight_packing = 0.1;
    it.weight_outage = 0.4;
    return it;
}

deployment deployment_b()
{
    auto it = deployment_a();
    it.name = "B";
    it.seed_offset = 1000;
    it.weight_waiting = 0.4;
    it.weight_share = 0.4;
    it.weight_packing = 0.1;
    it.weight_outage = 0.1;
    return it;
}

deployment two_year_size()
{
    auto it = deployment_a();
    it.name = "two-year";
    it.hosts = 800;
    it.domains = 7;
    it.hosts_with_accelerators = 150;
    it.teams = 48;
    it.large_teams = 8;
    it.length = milliseconds(180'000);
    it.drain_time = milliseconds(90'000);
    it.outage_time = milliseconds(120'000);
    it.return_time = milliseconds(140'000);
    it.weight_waiting = 0.3;
    it.weight_share = 0.3;
    it.weight_packing = 0.2;
    it.weight_outage = 0.2;
    return it;
}

workload generate_workload(const deployment& shape, std::uint64_t seed)
{
    return workload_generator(shape, seed + shape.seed_offset).generate();
}

} // namespace mustardwick::bench
