#include "mustardwick/policy/surplus_admission.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick::policy;
using std::chrono::milliseconds;

struct surplus_case
{
    const char* name;
    /// Jobs beyond the share that start a second.
    int starts_per_s;
    std::size_t waiting;
    int useful_ms;
    bool accepted;
};

// Guards against accepting what cannot start in time, 1,337 jobs of one account
// on one day, and against refusing what can.
Test(surplus_admission, accepts_what_can_start_in_time)
{
    const std::array cases = {
        surplus_case{"no backlog", 10, 0, 4000, true},
        surplus_case{"short burst", 0, 19, 4000, true},
        surplus_case{"served in time", 10, 39, 4000, true},
        surplus_case{"served too late", 10, 80, 4000, false},
        surplus_case{"nothing starts", 0, 200, 4000, false},
        surplus_case{"nothing starts, much time", 0, 200, 6000, true},
    };
    for (const auto& it : cases)
    {
        const surplus_admission::time_point begin{};
        surplus_admission admission(begin);
        cr_assert_not(admission.decide(begin, it.waiting, milliseconds(1)),
                      "%s: refused before anything is known", it.name);
        for (int n = 0; n < 2 * it.starts_per_s; ++n)
            admission.started();
        const auto refused = admission.decide(
            begin + milliseconds(2000), it.waiting, milliseconds(it.useful_ms));
        cr_assert_eq(!refused, it.accepted, "%s", it.name);
    }
}

// Guards against refused callers that all return at once, or before those that
// were refused earlier.
Test(surplus_admission, spreads_the_returns_in_order)
{
    const surplus_admission::time_point begin{};
    surplus_admission admission(begin);
    for (int n = 0; n < 20; ++n)
        admission.started();
    auto now = begin + milliseconds(2000);
    auto last = now;
    for (int n = 0; n < 25; ++n, now += milliseconds(20))
    {
        const auto retry = admission.decide(now, 500, milliseconds(4000));
        cr_assert(retry.has_value());
        cr_assert_geq(retry->count(), 1000);
        cr_assert_leq(retry->count(), 4000);
        const auto returns = now + *retry;
        cr_assert(returns >= last, "%d", n);
        last = returns;
    }
    // 25 callers at 10 starts a second.
    cr_assert(last >= begin + milliseconds(2000 + 1000 + 2300));
}
