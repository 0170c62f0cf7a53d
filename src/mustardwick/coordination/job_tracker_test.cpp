#include "mustardwick/coordination/job_tracker.hpp"

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::coordination;

namespace
{

constexpr int tasks = 3;

/// A tracker with one host that accepts work and a job of three tasks placed
/// on it.
struct placed_job
{
    placed_job()
    {
        configuration config;
        config.version = 1;
        config.failure_domains["north"] = {};
        auto& host = config.hosts["w"];
        host.failure_domain = "north";
        host.capacity = {8000, 16000, 0};
        tracker.configure(config);
        report(
            wire::host_report{"w", "lease-1", true, false, false, "entry-1#1"});
        job_record job;
        job.specification.id = "j";
        job.specification.tasks = tasks;
        job.specification.size = {100, 100, 0};
        tracker.add_job(job);
        tracker.plan();
    }

    void report(const wire::host_report& value)
    {
        wire::task_events events;
        events.hosts.push_back(value);
        tracker.apply(events);
    }

    void report(const std::string& attempt, wire::attempt_event event)
    {
        wire::task_events events;
        events.attempts.push_back({attempt, "w", event, {}});
        tracker.apply(events);
    }

    base::manual_clock clock;
    int last_attempt = 0;
    job_tracker tracker{clock, [this]
                        {
                            return "a" + std::to_string(++last_attempt);
                        }};
};

host_counts on_host(std::int64_t n)
{
    return {{"w", n}};
}

} // namespace

// A drained host must not be reported as empty while tasks run on it, and must
// be reported as empty once all have ended. A repeated report of the same end
// must not be counted twice.
Test(job_tracker, counts_placed_tasks_of_each_host)
{
    using enum wire::attempt_event;
    placed_job fixture;
    const auto all = on_host(tasks);
    cr_assert(fixture.tracker.placed_per_host() == all);
    fixture.report("a1", running);
    cr_expect(fixture.tracker.placed_per_host() == all);
    fixture.report("a1", finished);
    fixture.report("a1", finished);
    cr_expect(fixture.tracker.placed_per_host() == on_host(2));
    fixture.report("a2", failed);
    cr_expect(fixture.tracker.placed_per_host() == on_host(1));
    fixture.report(wire::host_report{"w", "", false, true, false, "entry-1#1"});
    cr_expect(fixture.tracker.placed_per_host().empty());
}

// A new planner must count the tasks that it restores from the table as placed.
Test(job_tracker, counts_restored_tasks)
{
    placed_job first;
    std::vector<ports::row> jobs;
    std::vector<ports::row> rows;
    for (const auto& [key, value] : first.tracker.take_changes().puts)
        (key.starts_with("job/") ? jobs : rows).push_back({key, 1, "", value});
    cr_assert_eq(jobs.size(), 1U);
    job_tracker second(first.clock,
                       []
                       {
                           return std::string("b");
                       });
    second.load(jobs, rows);
    cr_expect(second.placed_per_host() == on_host(tasks));
}

// A host that the platform is about to remove must get no new tasks (scenario
// host-list-lag), and must get tasks again when the removal is withdrawn.
Test(job_tracker, places_no_tasks_on_leaving_hosts)
{
    placed_job fixture;
    job_record job;
    job.specification.id = "k";
    job.specification.tasks = 1;
    job.specification.size = {100, 100, 0};
    for (const bool leaving : {true, false})
    {
        fixture.tracker.update_leaving_hosts(
            [leaving](const std::string&)
            {
                return leaving;
            });
        fixture.tracker.add_job(job);
        fixture.tracker.plan();
        cr_expect(fixture.tracker.placed_per_host() ==
                  on_host(leaving ? tasks : tasks + 1));
    }
}

// Guards against quarantining the hosts on which a job that fails wherever it
// runs was tried: other jobs find no host for 5 s and longer.
Test(job_tracker, keeps_hosts_that_ran_only_failing_jobs)
{
    placed_job fixture;
    for (int job = 0; job < 4; ++job)
    {
        job_record failing;
        failing.specification.id = "k" + std::to_string(job);
        failing.specification.tasks = 1;
        failing.specification.size = {100, 100, 0};
        fixture.tracker.add_job(failing);
        for (int attempt = 0; attempt < 3; ++attempt)
        {
            fixture.clock.advance(base::milliseconds(100));
            fixture.tracker.plan();
            fixture.report("a" + std::to_string(fixture.last_attempt),
                           wire::attempt_event::failed);
        }
    }
    job_record healthy;
    healthy.specification.id = "healthy";
    healthy.specification.tasks = 1;
    healthy.specification.size = {100, 100, 0};
    fixture.tracker.add_job(healthy);
    fixture.tracker.plan();
    cr_assert(fixture.tracker.placed_per_host() == on_host(tasks + 1));
}
