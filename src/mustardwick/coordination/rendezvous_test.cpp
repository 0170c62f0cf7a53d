#include "mustardwick/coordination/rendezvous.hpp"

#include <algorithm>

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace mustardwick::coordination;

namespace
{

std::vector<std::string> names(const std::string& prefix, int n)
{
    std::vector<std::string> out;
    out.reserve(static_cast<std::size_t>(n));
    for (int it = 0; it < n; ++it)
        out.push_back(prefix + std::to_string(it));
    return out;
}

} // namespace

// Guards against a departure that moves the keys of the remaining members, and
// against members that compute different assignments.
Test(rendezvous, a_departure_moves_only_its_own_keys)
{
    const bool ok = rc::check(
        "only the keys of the departed member move",
        []
        {
            auto live = names("entry-", *rc::gen::inRange(2, 20));
            const auto key =
                "duty/shard-" + std::to_string(*rc::gen::inRange(0, 1000));
            const auto departed = *rc::gen::elementOf(live);
            const auto before = assigned_member(key, live);
            std::ranges::reverse(live);
            RC_ASSERT(assigned_member(key, live) == before);
            std::erase(live, departed);
            RC_ASSERT(before == departed ||
                      assigned_member(key, live) == before);
        });
    cr_assert(ok);
}

// Guards against a member to which far more keys are assigned than to others.
Test(rendezvous, spreads_keys_over_members)
{
    const auto live = names("entry-", 9);
    const auto keys = names("duty/shard-", 64);
    std::size_t highest = 0;
    std::size_t lowest = keys.size();
    for (const auto& it : live)
    {
        const auto n = assigned_keys(it, keys, live).size();
        highest = std::max(highest, n);
        lowest = std::min(lowest, n);
    }
    cr_log_info("64 keys over 9 members: %zu to %zu each", lowest, highest);
    cr_assert_geq(lowest, 2);
    cr_assert_leq(highest, 14);
}

// Guards against an assignment while no member is live.
Test(rendezvous, no_member_is_assigned_without_members)
{
    cr_assert_not(assigned_member("duty/planner", {}).has_value());
}
