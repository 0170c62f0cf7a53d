#include "mustardwick/entry/store_reachability.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

struct store_reachability_case
{
    const char* name;
    bool leader_failing;
    /// Milliseconds before now; negative for never.
    int partition_answered_ms;
    int any_answered_ms;
    std::int64_t age_ms;
};

// Guards against a leader that releases leadership although only the partition
// of the store that holds the head row is down, so that no member can take over
// (no leader for 4.3 s).
Test(store_reachability, counts_only_the_partition_of_the_head_row)
{
    const std::array cases = {
        store_reachability_case{"store answers", false, -1, 300, 300},
        store_reachability_case{"store never answered", false, -1, -1, -1},
        store_reachability_case{"only the leader disconnected", true, 50, 20,
                                50},
        store_reachability_case{"partition down", true, -1, 20, -1},
        store_reachability_case{"partition down for 900 ms", true, 900, 20,
                                900},
    };
    const base::steady_time now{std::chrono::seconds(100)};
    const auto before = [now](int ms)
    {
        return ms < 0 ? base::steady_time{} : now - milliseconds(ms);
    };
    for (const auto& it : cases)
    {
        store_reachability reachability;
        if (it.partition_answered_ms >= 0)
            reachability.partition_answered(before(it.partition_answered_ms));
        cr_assert_eq(reachability.age_ms(it.leader_failing,
                                         before(it.any_answered_ms), now),
                     it.age_ms, "%s", it.name);
    }
}
