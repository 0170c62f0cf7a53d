#include "space_filter.hpp"

#include <limits>

namespace mustardwick::policy
{

namespace
{

std::int64_t headroom_of(std::int64_t limit, std::int64_t used)
{
    return limit < 0 ? std::numeric_limits<std::int64_t>::max() : limit - used;
}

resources headroom_of(const team_entry& team)
{
    const auto& limit = team.value.limit;
    return {headroom_of(limit.millicpus, team.used.millicpus),
            headroom_of(limit.memory_mb, team.used.memory_mb),
            headroom_of(limit.accelerators, team.used.accelerators)};
}

/// @brief Returns the space that a job could get on a host, including backfill.
resources space_of(const round& it, const host_slot& slot)
{
    if (!slot.open())
        return fit_tree::nothing;
    return at_least_zero(it.may_backfill() ? slot.free() + slot.reserved
                                           : slot.free());
}

const std::vector<resources>& grown_spaces(round& it, std::uint64_t tried_at)
{
    auto& cached = it.grown;
    const auto current = it.state.space_log.version();
    const auto placements = it.result.placements.size();
    if (cached.since == tried_at && cached.until == current &&
        cached.placements == placements && !cached.spaces.empty())
        return cached.spaces;
    space_filter found;
    if (const auto slots = it.state.space_log.since(tried_at))
        for (const auto index : *slots)
            found.add(space_of(it, it.state.slots[index]));
    else
        found = filter_anywhere(it, {}, priority_class::normal);
    cached = {tried_at, current, placements, std::move(found.spaces)};
    return cached.spaces;
}

} // namespace

void space_filter::add(const resources& space)
{
    if (space.millicpus < 0)
        return;
    for (const auto& known : spaces)
        if (space.fits_in(known))
            return;
    std::erase_if(spaces,
                  [&](const auto& known)
                  {
                      return known.fits_in(space);
                  });
    spaces.push_back(space);
}

space_filter filter_anywhere(const round& it, const team_entry& team,
                             priority_class priority)
{
    space_filter filter;
    filter.headroom = headroom_of(team);
    for (const auto& domain : it.state.domains)
    {
        filter.add(domain.free.largest_free());
        if (priority == priority_class::urgent)
            filter.add(domain.preemptible.largest_free());
    }
    if (it.may_backfill())
        for (const auto& [index, units] : it.state.reservation.units)
            filter.add(space_of(it, it.state.slots[index]));
    return filter;
}

space_filter filter_grown(round& it, const team_entry& team,
                          std::uint64_t tried_at)
{
    return {grown_spaces(it, tried_at), headroom_of(team)};
}

} // namespace mustardwick::policy
