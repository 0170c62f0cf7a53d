#include "mustardwick/policy/worker_speed.hpp"

#include <array>
#include <random>

#include <criterion/criterion.h>

using namespace mustardwick::policy;

namespace
{

/// Replays steps of several tasks on workers with the given speeds. Estimates
/// of a queue and of a step are wrong by random factors, and so is each task.
worker_speeds replay(const std::vector<double>& speeds, int steps,
                     unsigned seed)
{
    std::mt19937 random(seed);
    std::normal_distribution<double> step_error(0, 0.4);
    std::normal_distribution<double> task_error(0, 0.3);
    std::uniform_int_distribution<std::size_t> worker(0, speeds.size() - 1);
    const std::array queues = {0.9, -0.6};
    worker_speeds out;
    for (int n = 0; n < steps; ++n)
    {
        const bool first = n % 2 == 0;
        const double error = queues[first ? 0 : 1] + step_error(random);
        estimate_baseline step;
        for (int task = 0; task < 4; ++task)
        {
            const auto where = worker(random);
            const double took =
                1000 * std::exp(error + task_error(random)) / speeds[where];
            out.record(where, first ? "a" : "b", step, 1000, took);
        }
    }
    return out;
}

} // namespace

struct speeds_case
{
    const char* name;
    std::vector<double> speeds;
    /// Largest and smallest learned speed of the slow and the fast workers.
    double max_slow;
    double min_fast;
};

// Guards against taking the error of a queue's estimates for the speed of the
// workers, and against a belief in unlike workers where all are alike.
Test(worker_speed, keeps_speeds_apart_from_wrong_estimates)
{
    const std::array cases = {
        speeds_case{"unlike", {0.7, 0.7, 0.7, 0.7, 1.7, 1.7}, 1.0, 1.3},
        speeds_case{"alike", {1, 1, 1, 1, 1, 1}, 1.3, 0.75},
    };
    for (const auto& it : cases)
        for (unsigned seed = 1; seed <= 20; ++seed)
        {
            const auto found = replay(it.speeds, 60, seed);
            for (std::size_t n = 0; n < it.speeds.size(); ++n)
                if (n < 4)
                    cr_assert_lt(found.speed(n), it.max_slow, "%s %u: %f",
                                 it.name, seed, found.speed(n));
                else
                    cr_assert_gt(found.speed(n), it.min_fast, "%s %u: %f",
                                 it.name, seed, found.speed(n));
        }
}

// Guards against a belief that outlives its reason: a worker turned five times
// slower, or restarted as another kind.
Test(worker_speed, follows_a_worker_that_changes)
{
    worker_speeds speeds;
    for (int n = 0; n < 40; ++n)
    {
        estimate_baseline step;
        for (const std::size_t it : {0, 1, 2, 3})
            speeds.record(it, "a", step, 1000, 1000);
    }
    cr_assert_float_eq(speeds.speed(0), 1.0, 0.1);
    int runs = 0;
    while (speeds.speed(0) > 0.5 && runs < 30)
    {
        estimate_baseline step;
        speeds.record(1, "a", step, 1000, 1000);
        speeds.record(2, "a", step, 1000, 1000);
        speeds.record(0, "a", step, 1000, 5000);
        ++runs;
    }
    cr_assert_leq(runs, 8);
    speeds.forget(0);
    cr_assert_eq(speeds.speed(0), 1.0);
}

struct rank_case
{
    const char* name;
    double needed;
    double first;
    double second;
};

// Guards against urgent work on workers that are too slow for it, and against
// work with slack that takes the fast workers from it.
Test(worker_speed, ranks_workers_by_need)
{
    const std::array cases = {
        rank_case{"urgent work on the fast worker", 1.0, 1.7, 0.7},
        rank_case{"work with slack on the slow worker", 0.5, 0.7, 1.7},
        rank_case{"no time left: no preference for fast ones", 0, 0.7, 1.7},
        rank_case{"none suffices: the fastest", 3.0, 1.7, 0.7},
        rank_case{"the slowest that suffices", 1.0, 1.2, 2.4},
    };
    for (const auto& it : cases)
        cr_assert_lt(speed_rank(it.first, it.needed),
                     speed_rank(it.second, it.needed), "%s", it.name);
    cr_assert_eq(speed_rank(0.95, 0.5), speed_rank(1.1, 0.5));
    cr_assert_lt(needed_speed(680, 4000), 0.5);
    cr_assert_gt(needed_speed(680, 1100), 0.8);
}
