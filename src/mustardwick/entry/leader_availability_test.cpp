#include "mustardwick/entry/leader_availability.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

struct availability_case
{
    const char* name;
    /// Calls fail every 60 ms from from_ms to until_ms.
    int from_ms;
    int until_ms;
    /// A call succeeds at this time; negative for never.
    int succeeded_ms;
    int now_ms;
    bool missing;
};

// Guards against callers that wait until their deadline (2.85 s each) while no
// daemon can lead, and against rejections during a leader change or after an
// idle period.
Test(leader_availability, distinguishes_a_missing_leader_from_a_leader_change)
{
    const std::array cases = {
        availability_case{"leader change", 0, 1200, -1, 1210, false},
        availability_case{"no leader", 0, 1800, -1, 1810, true},
        availability_case{"call succeeded since", 0, 1800, 1805, 1810, false},
        availability_case{"no calls for 600 ms", 0, 1800, -1, 2400, false},
    };
    for (const auto& it : cases)
    {
        leader_availability availability;
        const base::steady_time begin{std::chrono::seconds(100)};
        for (int at = it.from_ms; at <= it.until_ms; at += 60)
            availability.call_failed(begin + milliseconds(at));
        if (it.succeeded_ms >= 0)
            availability.call_succeeded();
        cr_assert_eq(availability.is_missing(begin + milliseconds(it.now_ms)),
                     it.missing, "%s", it.name);
    }
}
