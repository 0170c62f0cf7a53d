#include "mustardwick/entry/store_contact.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

struct store_contact_case
{
    const char* name;
    bool leader_fails;
    /// Milliseconds before now; negative for never.
    int part_answered_ms;
    int any_answered_ms;
    std::int64_t age_ms;
};

// Guards against a leader that gives up its duty although only the part of the
// store that holds the head row is down, so that nobody can take it (tp-dakar
// scale-1: no leader for 4.3 s).
Test(store_contact, counts_only_the_part_of_the_head_row)
{
    const std::array cases = {
        store_contact_case{"store answers", false, -1, 300, 300},
        store_contact_case{"nothing answers", false, -1, -1, -1},
        store_contact_case{"leader alone cut off", true, 50, 20, 50},
        store_contact_case{"part down", true, -1, 20, -1},
        store_contact_case{"part down since", true, 900, 20, 900},
    };
    const base::steady_time now{std::chrono::seconds(100)};
    const auto before = [now](int ms)
    {
        return ms < 0 ? base::steady_time{} : now - milliseconds(ms);
    };
    for (const auto& it : cases)
    {
        store_contact contact;
        if (it.part_answered_ms >= 0)
            contact.part_answered(before(it.part_answered_ms));
        cr_assert_eq(
            contact.age_ms(it.leader_fails, before(it.any_answered_ms), now),
            it.age_ms, "%s", it.name);
    }
}
