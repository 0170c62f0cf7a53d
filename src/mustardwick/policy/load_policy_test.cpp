#include "mustardwick/policy/advice_plan.hpp"
#include "mustardwick/policy/preemption_plan.hpp"
#include "mustardwick/policy/share_bucket.hpp"
#include "mustardwick/policy/urgency.hpp"

#include <array>
#include <vector>

#include <criterion/criterion.h>

using namespace mustardwick::policy;

struct order_case
{
    const char* name;
    waiting_step first;
    waiting_step second;
};

// Guards against scheduling steps that are late, or over their account's share,
// before steps that can still be in time. Under overload, load scheduled in
// arrival order earned only 0.42 of its value.
Test(load_policy, orders_waiting_steps)
{
    const std::array cases = {
        order_case{"priority", {0, 100, 500, 900}, {1, 100, 200, 900}},
        order_case{"least slack", {1, 400, 500, 900}, {1, 100, 500, 900}},
        order_case{
            "late after in time", {2, 100, 500, 900}, {0, 600, 500, 900}},
        order_case{"past the late deadline last",
                   {2, 100, 500, 900},
                   {0, 950, 500, 900}},
        order_case{"over share after late",
                   {2, 600, 500, 900, false},
                   {0, 100, 500, 900, true}},
        order_case{"long-running work of an old job before late work",
                   {1, 100, -9000, -8000, false, true},
                   {0, 600, 500, 900}},
        order_case{"long-running work over share before finite work over share",
                   {1, 100, -9000, -8000, true, true},
                   {0, 100, 500, 900, true}},
    };
    for (const auto& it : cases)
        cr_assert_lt(urgency_of(it.first), urgency_of(it.second), "%s",
                     it.name);
}

// Guards against an account that submits far above its weight and displaces the
// others. Replays 8 s of an overloading account beside one at its usual rate.
Test(load_policy, marks_jobs_over_the_account_share)
{
    share_bucket overloading;
    share_bucket usual;
    const auto begin = share_bucket::time_point{};
    constexpr double weight = 10;
    int overloading_within = 0;
    int usual_within = 0;
    for (int ms = 0; ms < 8000; ms += 20)
    {
        const auto now = begin + std::chrono::milliseconds(ms);
        overloading_within += overloading.take(now, weight) ? 1 : 0;
        if (ms % 100 == 0)
            usual_within += usual.take(now, weight) ? 1 : 0;
    }
    cr_assert_eq(usual_within, 80);
    cr_assert_geq(overloading_within, 80);
    cr_assert_leq(overloading_within, 90);
}

struct query_case
{
    std::vector<int> slots;
    int missing;
    double share;
    std::size_t hosts;
};

// Guards against advice queries with so few hosts that a second one is needed,
// and with so many that they occupy a channel needlessly.
Test(load_policy, sizes_advice_queries)
{
    const std::array cases = {
        query_case{{1, 1, 1, 1, 1, 1, 1, 1}, 2, 0.5, 6},
        query_case{{3, 3, 3, 3}, 3, 1.0, 2},
        query_case{{1, 1}, 9, 0.5, 2},
        query_case{std::vector<int>(300, 1), 80, 0.35, 120},
    };
    for (const auto& it : cases)
        cr_assert_eq(hosts_to_query(it.slots, it.missing, it.share), it.hosts);
    cr_assert_eq(advice_queries_for(10, 38), 1);
    cr_assert_eq(advice_queries_for(60, 38), 4);
    cr_assert_eq(advice_queries_for(60, 4), 2);
    cr_assert_eq(advice_queries_for(60, 1), 1);
}

struct preemption_case
{
    const char* name;
    std::vector<preemption_host> hosts;
    int members;
    std::optional<std::vector<host_preemption>> expected;
};

// Guards against preempting more work than the step needs, and against
// preempting for a step that would still not fit.
Test(load_policy, preempts_the_least_work)
{
    const resources size{9000, 100, 0};
    const resources small{3000, 10, 0};
    const resources large{5000, 10, 0};
    const preemption_host idle{{9000, 1000, 0}, {small}, 1};
    const preemption_host near{{6000, 1000, 0}, {small, small}, 1};
    const preemption_host far{{0, 1000, 0}, {large, large}, 1};
    const std::array cases = {
        preemption_case{"nothing to preempt", {idle, near}, 1, {{{0, 1, 0}}}},
        preemption_case{
            "one small task", {idle, near, far}, 2, {{{0, 1, 0}, {1, 1, 1}}}},
        preemption_case{"every host", {far, near}, 2, {{{0, 1, 2}, {1, 1, 1}}}},
        preemption_case{"too few hosts", {idle, near}, 3, std::nullopt},
    };
    for (const auto& it : cases)
        cr_assert(plan_preemption(it.hosts, size, it.members) == it.expected,
                  "%s", it.name);
}
