#include "mustardwick/policy/scheduler.hpp"

#include <array>
#include <map>

#include <criterion/criterion.h>

using namespace mustardwick::policy;

namespace
{

const steady_time start_time{};

host make_host(const std::string& name, const std::string& domain,
               resources capacity = {4000, 4096, 0})
{
    return {name, domain, "r-" + domain + name.substr(0, 1), capacity, true};
}

job make_job(const std::string& id, const std::string& team, work_kind kind,
             resources size, int tasks)
{
    job it;
    it.id = id;
    it.team = team;
    it.kind = kind;
    it.size = size;
    it.tasks = tasks;
    it.submitted = start_time;
    return it;
}

cell make_cell(int hosts_per_domain)
{
    cell it;
    for (int i = 0; i < hosts_per_domain; ++i)
        for (const auto* domain : {"a", "b", "c"})
            it.set_host(make_host(std::to_string(i) + domain, domain));
    return it;
}

struct rejection_case
{
    work_kind kind;
    resources size;
    int tasks;
    bool rejected;
};

} // namespace

// Guards against keeping jobs that can never run, and against rejecting jobs
// that only have to wait.
Test(scheduler, rejects_exactly_what_can_never_run)
{
    const std::array cases = {
        rejection_case{work_kind::batch, {4000, 4096, 0}, 100, false},
        rejection_case{work_kind::batch, {4001, 1, 0}, 1, true},
        rejection_case{work_kind::batch, {1, 1, 1}, 1, true},
        rejection_case{work_kind::batch, {-1, 1, 0}, 1, true},
        rejection_case{work_kind::gang, {4000, 1, 0}, 3, false},
        rejection_case{work_kind::gang, {4000, 1, 0}, 4, true},
        rejection_case{work_kind::gang, {1000, 2049, 0}, 4, true},
    };
    for (const auto& it : cases)
    {
        auto state = make_cell(1);
        state.add_job(make_job("j", "t", it.kind, it.size, it.tasks));
        const auto plan = plan_round(state, start_time);
        cr_assert_eq(plan.rejections.size(), it.rejected ? 1 : 0);
        cr_assert_eq(plan.placements.empty(), it.rejected);
    }
}

// Guards against jobs that are impossible or at their team's limit and block
// the jobs behind them.
Test(scheduler, impossible_and_limited_jobs_do_not_block_the_queue)
{
    auto state = make_cell(1);
    state.set_team({"t", 1, {2000, -1, -1}});
    auto gang = make_job("1", "t", work_kind::gang, {1000, 1, 0}, 3);
    state.add_job(gang);
    state.add_job(make_job("2", "t", work_kind::batch, {9000, 1, 0}, 1));
    state.add_job(make_job("3", "t", work_kind::batch, {1000, 1, 0}, 5));
    const auto plan = plan_round(state, start_time);
    cr_assert_eq(plan.rejections.size(), 2);
    cr_assert_eq(plan.placements.size(), 2);
    cr_assert_eq(state.pending("3"), 3);
}

// Guards against a worker that fails every task and is filled before its first
// failures are reported. Tasks must still start when every host has reached the
// bound on recent starts.
Test(scheduler, bounds_unreported_starts_per_host)
{
    struct start_case
    {
        int tasks;
        std::size_t max_on_host;
    };
    for (const auto& it : {start_case{30, 10}, start_case{60, 40}})
    {
        auto state = make_cell(1);
        state.add_job(
            make_job("j", "t", work_kind::batch, {100, 100, 0}, it.tasks));
        const auto plan = plan_round(state, start_time);
        std::map<std::string, std::size_t> on_host;
        for (const auto& placed : plan.placements)
            ++on_host[placed.host];
        cr_assert_eq(plan.placements.size(), it.tasks);
        for (const auto& [name, n] : on_host)
            cr_assert_leq(n, it.max_on_host);
    }
}

// Guards against replicas that needlessly share a failure domain or a host.
Test(scheduler, spreads_services_over_failure_domains)
{
    auto state = make_cell(2);
    state.add_job(make_job("s", "t", work_kind::service, {500, 100, 0}, 6));
    const auto plan = plan_round(state, start_time);
    cr_assert_eq(plan.placements.size(), 6);
    for (const auto& [name, host] : state.hosts())
        cr_assert_eq(state.used(name).millicpus, 500);
}

// Guards against tasks without accelerators that occupy hosts with
// accelerators.
Test(scheduler, uses_hosts_with_accelerators_last)
{
    auto state = make_cell(1);
    state.set_host(make_host("0g", "a", {4000, 4096, 4}));
    state.add_job(make_job("b", "t", work_kind::batch, {1000, 100, 0}, 12));
    plan_round(state, start_time);
    cr_assert_eq(state.used("0g").millicpus, 0);
    state.add_job(make_job("c", "t", work_kind::batch, {1000, 100, 0}, 1));
    plan_round(state, start_time);
    cr_assert_eq(state.used("0g").millicpus, 1000);
}

// Guards against shares that ignore team weights.
Test(scheduler, divides_a_full_cell_by_weight)
{
    auto state = make_cell(4);
    state.set_team({"big", 3, {-1, -1, -1}});
    state.set_team({"small", 1, {-1, -1, -1}});
    for (const auto* team : {"small", "big"})
        state.add_job(
            make_job(team, team, work_kind::batch, {1000, 10, 0}, 99));
    plan_round(state, start_time);
    cr_assert_eq(state.used_by_team("big").millicpus, 36'000);
    cr_assert_eq(state.used_by_team("small").millicpus, 12'000);
}

// Guards against a new planner that rate-limits the first admission of hosts
// whose leases open late.
Test(scheduler, admits_hosts_at_once_the_first_time)
{
    cell state;
    for (const bool accepts : {false, true})
        for (int i = 0; i < 20; ++i)
        {
            auto it = make_host(std::to_string(i) + "a", "a");
            it.accepts_work = accepts;
            state.set_host(it);
        }
    state.add_job(make_job("b", "t", work_kind::batch, {4000, 10, 0}, 60));
    cr_assert_eq(plan_round(state, start_time).placements.size(), 20);
}

// Guards against a returning failure domain that takes work on all hosts at
// once.
Test(scheduler, admits_returning_hosts_at_a_bounded_rate)
{
    auto state = make_cell(20);
    const auto set_all = [&](bool accepts)
    {
        for (int i = 0; i < 20; ++i)
        {
            auto it = make_host(std::to_string(i) + "a", "a");
            it.accepts_work = accepts;
            state.set_host(it);
        }
    };
    set_all(false);
    plan_round(state, start_time);
    set_all(true);
    state.add_job(make_job("b", "t", work_kind::batch, {4000, 10, 0}, 60));
    const auto first = plan_round(state, start_time);
    cr_assert_eq(first.placements.size(), 41);
    const auto last = plan_round(state, start_time + milliseconds(2000));
    cr_assert_eq(last.placements.size(), 19);
}
