#include "round.hpp"

#include <algorithm>

namespace mustardwick::policy
{

namespace
{

using claim_list = std::vector<std::pair<task_id, task_claim>>;

/// @brief Returns the claims of a job.
claim_list claims_of(const cell::state& state, std::string_view job)
{
    claim_list found;
    auto it = state.claims.lower_bound({std::string(job), 0});
    for (; it != state.claims.end() && it->first.job == job; ++it)
        found.push_back(*it);
    return found;
}

/// @brief Returns the claimed resources by host.
std::map<int, resources> needs_of(const claim_list& claims)
{
    std::map<int, resources> needs;
    for (const auto& [id, claim] : claims)
        needs[claim.slot] += claim.size;
    return needs;
}

bool all_pending(const job_entry& work, const claim_list& claims)
{
    return std::ranges::all_of(claims,
                               [&](const auto& entry)
                               {
                                   return work.pending.contains(
                                       entry.first.index);
                               });
}

bool all_fit(const round& it, const claim_list& claims)
{
    return std::ranges::all_of(
        needs_of(claims),
        [&](const auto& need)
        {
            const auto& slot = it.state.slots[need.first];
            return need.second.fits_in(slot.capacity() - slot.used);
        });
}

/// @brief Returns whether waiting longer cannot free the claimed resources: the
/// team is at its limit, or no stop is pending on the hosts.
bool cannot_become_free(const round& it, const job_entry& work,
                        const claim_list& claims)
{
    const auto total = times(work.value->size, std::int64_t(claims.size()));
    if (!within_limit(work.team->used + total, work.team->value.limit))
        return true;
    return std::ranges::none_of(
        needs_of(claims),
        [&](const auto& need)
        {
            return it.state.slots[need.first].stopping != resources{};
        });
}

void release(round& it, const claim_list& claims)
{
    for (const auto& [id, claim] : claims)
        it.state.release_claim(id);
}

/// @brief Starts all claimed tasks together, or releases their claims when they
/// can no longer start there.
void place_together(round& it, job_entry& work, const claim_list& claims)
{
    if (claims.empty() || !all_pending(work, claims))
        return;
    const auto total = times(work.value->size, std::int64_t(claims.size()));
    const bool allowed =
        within_limit(work.team->used + total, work.team->value.limit);
    if (allowed && all_fit(it, claims))
        for (const auto& [id, claim] : claims)
            it.place(work, id.index, claim.slot);
    else if (cannot_become_free(it, work, claims))
        release(it, claims);
}

/// @brief Releases claims on hosts that no longer accept work. A gang then
/// loses all of its claims.
void release_on_closed_hosts(round& it, const job_entry& work,
                             claim_list& claims)
{
    const auto closed = [&](const auto& entry)
    {
        return !it.state.slots[entry.second.slot].open();
    };
    const bool gang = work.value->kind == work_kind::gang;
    const bool all = gang && std::ranges::any_of(claims, closed);
    std::erase_if(claims,
                  [&](const auto& entry)
                  {
                      if (!all && !closed(entry))
                          return false;
                      it.state.release_claim(entry.first);
                      return true;
                  });
}

void place_claims_of(round& it, job_entry& work)
{
    auto claims = claims_of(it.state, work.value->id);
    release_on_closed_hosts(it, work, claims);
    if (work.value->kind == work_kind::gang)
    {
        // A task that stopped after the claims were made, or whose claimed host
        // was removed, is pending without a claim. A gang only starts whole.
        const bool incomplete = work.claimed.size() < work.pending.size();
        return incomplete ? release(it, claims)
                          : place_together(it, work, claims);
    }
    for (const auto& entry : claims)
        place_together(it, work, {entry});
}

} // namespace

void place_claimed(round& it)
{
    std::set<std::string> jobs;
    for (const auto& [id, claim] : it.state.claims)
        jobs.insert(id.job);
    for (const auto& id : jobs)
        place_claims_of(it, *it.state.entry(id));
}

} // namespace mustardwick::policy
