// Embeds the placement policy: the program maintains a cell of hosts, teams and
// jobs and runs one planning round at a time. The policy does no I/O and reads
// no clock; the program decides when and how to apply placements.

#include <chrono>
#include <iostream>
#include <string>

#include "mustardwick/policy/cell.hpp"
#include "mustardwick/policy/scheduler.hpp"

namespace
{

namespace policy = mustardwick::policy;
using std::chrono::milliseconds;

constexpr policy::resources host_size{4000, 8192, 0};
constexpr policy::resources task_size{1000, 1024, 0};

policy::host make_host(const std::string& name, const std::string& domain)
{
    policy::host out;
    out.name = name;
    out.failure_domain = domain;
    out.rack = "rack-" + domain;
    out.capacity = host_size;
    return out;
}

policy::job make_job(const std::string& id, policy::work_kind kind, int tasks,
                     policy::steady_time now)
{
    policy::job out;
    out.id = id;
    out.team = "web";
    out.queue = "main";
    out.kind = kind;
    out.size = task_size;
    out.tasks = tasks;
    out.submitted = now;
    return out;
}

void print(const policy::plan& plan)
{
    for (const auto& it : plan.placements)
        std::cout << "  start " << it.id.job << '/' << it.id.index << " on "
                  << it.host << '\n';
    for (const auto& it : plan.removals)
        std::cout << "  stop " << it.id.job << '/' << it.id.index << " on "
                  << it.host << '\n';
    for (const auto& it : plan.rejections)
        std::cout << "  reject " << it.job << ": " << it.reason << '\n';
}

/// Returns whether all three tasks of a service are placed.
bool places_service_tasks(policy::cell& cell, policy::steady_time now)
{
    std::cout << "a service of three tasks:\n";
    cell.add_job(make_job("shop", policy::work_kind::service, 3, now));
    const auto plan = policy::plan_round(cell, now);
    print(plan);
    return plan.placements.size() == 3;
}

/// Returns whether a task larger than every host is rejected, not queued.
bool rejects_oversized_task(policy::cell& cell, policy::steady_time now)
{
    std::cout << "a task larger than every host:\n";
    auto job = make_job("huge", policy::work_kind::batch, 1, now);
    job.size.memory_mb = 2 * host_size.memory_mb;
    cell.add_job(job);
    const auto plan = policy::plan_round(cell, now);
    print(plan);
    return plan.rejections.size() == 1;
}

/// Returns whether the capacity of a finished task is reused in the next round.
bool reuses_freed_capacity(policy::cell& cell, policy::steady_time now)
{
    std::cout << "ten tasks for nine free places, then one task ends:\n";
    cell.add_job(make_job("nightly", policy::work_kind::batch, 10, now));
    const auto first = policy::plan_round(cell, now);
    print(first);
    if (first.placements.size() != 9)
        return false;
    cell.stop(first.placements.front().id, true);
    const auto second = policy::plan_round(cell, now + milliseconds{20});
    std::cout << "then:\n";
    print(second);
    return second.placements.size() == 1;
}

} // namespace

int main()
{
    policy::cell cell;
    const policy::steady_time now{milliseconds{1000}};
    for (const char* domain : {"north", "centre", "south"})
        cell.set_host(make_host(std::string("host-") + domain, domain));
    cell.set_team({"web", 1, {-1, -1, -1}});
    const bool ok = places_service_tasks(cell, now) &&
                    rejects_oversized_task(cell, now) &&
                    reuses_freed_capacity(cell, now);
    std::cout << (ok ? "done\n" : "unexpected result\n");
    return ok ? 0 : 1;
}
