#include "mustardwick/entry/leader_availability.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

struct availability_case
{
    const char* name;
    /// Calls fail every 60 ms from here to there.
    int from_ms;
    int until_ms;
    /// A call is served at this time; negative for never.
    int succeeded_ms;
    int now_ms;
    bool missing;
};

// Guards against callers that are held until their deadline while no daemon
// can lead (tp-dakar scale-1: 2.85 s each), and against refusals during a
// change of leaders or after a quiet time.
Test(leader_availability, distinguishes_a_missing_leader_from_a_leader_change)
{
    const std::array cases = {
        availability_case{"change of leaders", 0, 1200, -1, 1210, false},
        availability_case{"no leader", 0, 1800, -1, 1810, true},
        availability_case{"served again", 0, 1800, 1805, 1810, false},
        availability_case{"quiet since", 0, 1800, -1, 2400, false},
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
