#include "planner_fixture_test.hpp"

#include <map>
#include <set>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

namespace
{

constexpr int hosts = 6;

/// Six hosts on which the given runs fail.
struct failing_cell : planner_fixture
{
    failing_cell() : planner_fixture(hosts) {}

    void fail(const start_order& order)
    {
        end(order, ++last_end_[order.worker], jobs::run_outcome::failed);
    }

    void succeed(const start_order& order)
    {
        end(order, ++last_end_[order.worker], jobs::run_outcome::done);
    }

    /// Fills each host with tasks of separate jobs, and returns their orders.
    std::vector<start_order> fill(const std::string& prefix)
    {
        for (int it = 0; it < hosts * 4; ++it)
            submit(make_job(prefix + std::to_string(it), "plain",
                            {make_step(1, 8)}));
        return run_round().starts;
    }

    /// Returns the hosts that get tasks when there is work for all of them.
    std::set<std::string> usable_hosts()
    {
        submit(make_job("more", "plain", {make_step(hosts * 4, 8)}));
        std::set<std::string> out;
        for (const auto& it : round().starts)
            out.insert(it.worker);
        return out;
    }

private:
    std::map<std::string, std::int64_t> last_end_;
};

} // namespace

// Guards against jobs that could run but find no host, because jobs that fail
// wherever they run have had every host quarantined.
Test(host_quarantine, spares_hosts_that_ran_only_failing_jobs)
{
    failing_cell cell;
    // The queue allows two attempts, so that each job fails after the second.
    auto runs = cell.fill("poisoned");
    cr_assert_eq(runs.size(), hosts * 4);
    while (!runs.empty())
    {
        for (const auto& it : runs)
            cell.fail(it);
        cell.commit();
        runs = cell.run_round().starts;
    }
    cr_assert_eq(cell.usable_hosts().size(), hosts);
}

// Guards against quarantining most of a cell before it shows that the jobs are
// the cause of their failures.
Test(host_quarantine, leaves_most_hosts_usable)
{
    failing_cell cell;
    for (const auto& it : cell.fill("poisoned"))
        cell.fail(it);
    cell.commit();
    cr_assert_geq(cell.usable_hosts().size(), hosts * 2 / 3);
}

// Guards against a host that fails everything and goes on receiving work.
Test(host_quarantine, excludes_a_host_that_fails_everything)
{
    failing_cell cell;
    for (int round = 0; round < 3; ++round)
    {
        for (const auto& it : cell.fill("round" + std::to_string(round)))
            if (it.worker == "w0")
                cell.fail(it);
            else
                cell.succeed(it);
        cell.commit();
    }
    const auto usable = cell.usable_hosts();
    cr_assert_eq(usable.size(), hosts - 1);
    cr_assert(!usable.contains("w0"));
}
