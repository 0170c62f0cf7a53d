#include "mustardwick/entry/leader_contact.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

struct contact_case
{
    const char* name;
    /// Calls fail every 60 ms from here to there.
    int from_ms;
    int until_ms;
    /// A call is served at this time; negative for never.
    int served_ms;
    int now_ms;
    bool missing;
};

// Guards against callers that are held until their deadline while no daemon
// can lead (tp-dakar scale-1: 2.85 s each), and against refusals during a
// change of leaders or after a quiet time.
Test(leader_contact, tells_a_missing_leader_from_a_change_of_leaders)
{
    const std::array cases = {
        contact_case{"change of leaders", 0, 1200, -1, 1210, false},
        contact_case{"no leader", 0, 1800, -1, 1810, true},
        contact_case{"served again", 0, 1800, 1805, 1810, false},
        contact_case{"quiet since", 0, 1800, -1, 2400, false},
    };
    for (const auto& it : cases)
    {
        leader_contact contact;
        const base::steady_time begin{std::chrono::seconds(100)};
        for (int at = it.from_ms; at <= it.until_ms; at += 60)
            contact.unserved(begin + milliseconds(at));
        if (it.served_ms >= 0)
            contact.served();
        cr_assert_eq(contact.is_missing(begin + milliseconds(it.now_ms)),
                     it.missing, "%s", it.name);
    }
}
