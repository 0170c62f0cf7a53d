#include "planner_fixture_test.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

struct flood_case
{
    const char* name;
    /// Cores of the work that runs when the flood comes; the cell has 64.
    std::int64_t running_cores;
    const char* account;
    bool refused;
};

// Guards against accepting the surplus of an account that floods a busy cell,
// against refusing it while workers are idle, and against refusing the shares
// of other accounts.
Test(admission, refuses_only_the_surplus_of_a_busy_cell)
{
    const std::array cases = {
        flood_case{"busy cell", 60, "a", true},
        flood_case{"room for the surplus", 44, "a", false},
        flood_case{"idle cell", 4, "a", false},
        flood_case{"share of another account", 60, "capped", false},
    };
    for (const auto& it : cases)
    {
        planner_fixture cell;
        auto configuration = make_configuration();
        configuration.accounts["many"] = {"many", {}, 1000, {}};
        cell.plan.set_configuration(configuration);
        cell.submit(make_job("running", "plain",
                             {make_step(2, it.running_cores / 2)}, "many"));
        cell.run_round();
        const auto fresh = [](const char* account)
        {
            auto step = make_step(1, 1);
            step.estimate_ms = 300;
            return make_job("fresh", "urgent", {step}, account);
        };
        cr_assert_not(cell.plan.refuse_surplus(fresh("a")));
        cell.submit(
            make_job("wide", "plain", {make_step(2, 30, true)}, "many"));
        for (int n = 0; n < 30; ++n)
            cell.submit(make_job("flood" + std::to_string(n), "urgent",
                                 {make_step(1, 1)}));
        for (int n = 0; n < 12; ++n)
            cell.run_round();
        // Uses up the share that has accrued meanwhile.
        cell.submit(make_job("last", "urgent", {make_step(1, 1)}));
        cr_assert_eq(cell.plan.refuse_surplus(fresh(it.account)).has_value(),
                     it.refused, "%s", it.name);
    }
}
