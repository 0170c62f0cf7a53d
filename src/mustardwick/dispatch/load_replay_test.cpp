#include "load_replay_test.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

namespace
{

job_kind urgent_jobs(double jobs_per_s)
{
    job_kind out;
    out.queue = "urgent";
    out.jobs_per_s = jobs_per_s;
    out.tasks = 2;
    out.millicpus = 2600;
    out.allowed = 0.7;
    out.stretch = 1.5;
    out.target_latency_ms = 250;
    out.priority = 0;
    out.advice = {12, 0.17, 2500};
    return out;
}

job_kind wide_jobs(double jobs_per_s, int tasks)
{
    job_kind out;
    out.queue = "wide";
    out.jobs_per_s = jobs_per_s;
    out.tasks = tasks;
    out.millicpus = 9000;
    out.run_ms = 6200;
    out.is_gang = true;
    out.allowed = 0.35;
    out.stretch = 2.2;
    out.target_latency_ms = 1000;
    out.advice = {450, 6.5, 2500};
    return out;
}

job_kind batch_jobs(double jobs_per_s)
{
    job_kind out;
    out.queue = "batch";
    out.jobs_per_s = jobs_per_s;
    out.tasks = 15;
    out.millicpus = 1800;
    out.run_ms = 2200;
    out.checkpointing = true;
    out.allowed = 0.45;
    out.stretch = 4;
    out.target_latency_ms = 3000;
    out.priority = 2;
    out.advice = {53, 0.75, 2500};
    return out;
}

/// Sends more than its share: what is beyond is worth nothing.
job_kind hot_account(double jobs_per_s)
{
    auto out = urgent_jobs(jobs_per_s);
    out.queue = "hot";
    out.account = "a";
    return out;
}

struct replay_case
{
    const char* name;
    int hosts;
    std::size_t channels;
    std::vector<job_kind> kinds;
    /// Least share of each kind that has to be in time.
    std::vector<double> min_shares;
};

} // namespace

// Guards against wide all-at-once steps that never find room in a full cell:
// small tasks fill every gap, of work that earns nothing (trouble-3: 0.28 of
// the wide jobs' credit) or of work that could wait.
Test(load_replay, meets_objectives_of_gang_steps_in_a_full_cell)
{
    // Hosts of 32 processors. Nine tenths of what accounts send within their
    // shares have to be in time; in a burst beyond the capacity, the 0.73 that
    // the users ask for.
    const std::array cases = {
        replay_case{"usual load",
                    48,
                    9,
                    {urgent_jobs(30), wide_jobs(2, 5), batch_jobs(6)},
                    {0.9, 0.9, 0.9}},
        replay_case{"hot account and a third of the hosts out",
                    32,
                    9,
                    {urgent_jobs(30), wide_jobs(2.8, 5), batch_jobs(6),
                     hot_account(300)},
                    {0.9, 0.9, 0.9, 0}},
        replay_case{"burst of wide jobs",
                    44,
                    9,
                    {urgent_jobs(30), wide_jobs(5, 5), batch_jobs(6)},
                    {0.73, 0.73, 0.73}},
    };
    for (const auto& it : cases)
    {
        load_replay replay(it.hosts, it.channels, it.kinds, 7);
        const auto out = replay.play();
        for (std::size_t kind = 0; kind < out.size(); ++kind)
            cr_expect_geq(out[kind].share(), it.min_shares[kind],
                          "%s: %s %d of %d", it.name,
                          it.kinds[kind].queue.c_str(), out[kind].in_time,
                          out[kind].submitted);
    }
}
