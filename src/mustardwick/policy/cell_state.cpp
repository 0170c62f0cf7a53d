#include "cell_state.hpp"

#include <algorithm>
#include <utility>

namespace mustardwick::policy
{

namespace
{

void add_count(std::map<int, int>& counts, int key, int sign)
{
    const auto it = counts.try_emplace(key, 0).first;
    it->second += sign;
    if (it->second == 0)
        counts.erase(it);
}

void add_amount(resources& sum, const resources& size, int sign)
{
    sum += times(size, sign);
}

} // namespace

job_entry* cell::state::entry(std::string_view id)
{
    const auto it = entries.find(id);
    return it == entries.end() ? nullptr : &it->second;
}

host_slot* cell::state::slot(std::string_view name)
{
    const auto it = slot_of.find(name);
    return it == slot_of.end() ? nullptr : &slots[it->second];
}

team_entry& cell::state::team_for(std::string_view name)
{
    auto it = teams.find(name);
    if (it == teams.end())
    {
        it = teams.try_emplace(std::string(name)).first;
        it->second.value.name = name;
    }
    return it->second;
}

void cell::state::rebuild_topology()
{
    if (!topology_changed)
        return;
    topology_changed = false;
    for (auto& it : domains)
        it.slots.clear();
    for (const auto& [name, index] : slot_of)
        if (slots[index].value != nullptr)
            domains[slots[index].domain].slots.push_back(index);
    for (auto& it : domains)
    {
        std::ranges::stable_sort(
            it.slots, {},
            [&](int index)
            {
                const auto& slot = slots[index];
                return std::pair(slot.capacity().accelerators, slot.rack);
            });
        it.free.reset(it.slots.size());
        it.preemptible.reset(it.slots.size());
        for (std::size_t leaf = 0; leaf < it.slots.size(); ++leaf)
            slots[it.slots[leaf]].leaf = leaf;
        for (const auto index : it.slots)
            update_slot(index);
    }
    space_log.record_all();
}

void cell::state::update_slot(int index)
{
    auto& it = slots[index];
    if (topology_changed || it.value == nullptr)
        return;
    auto& domain = domains[it.domain];
    if (!it.open())
    {
        domain.free.set(it.leaf, fit_tree::nothing);
        domain.preemptible.set(it.leaf, fit_tree::nothing);
        return;
    }
    const auto free = at_least_zero(it.free());
    // Includes reserved space, which can be backfilled.
    const auto space = it.free() + it.reserved;
    if (!free.fits_in(domain.free.at(it.leaf)) || !space.fits_in(it.space))
        space_log.record(index);
    it.space = space;
    domain.free.set(it.leaf, free);
    domain.preemptible.set(
        it.leaf, at_least_zero(it.capacity() - it.used_by_urgent - it.claimed));
}

void cell::state::requeue(job_entry& it)
{
    auto& queue = it.team->queues[int(it.value->priority)];
    const auto claimed =
        std::ranges::count_if(it.claimed,
                              [&](int index)
                              {
                                  return it.pending.contains(index);
                              });
    const auto waiting = std::int64_t(it.pending.size()) - claimed;
    const bool wanted = waiting > 0 && !it.rejected;
    const bool gang = it.value->kind == work_kind::gang;
    const job_shape shape{it.value->size, it.value->kind,
                          gang ? int(waiting) : 1, it.run_time_class};
    if (it.queued == wanted && (!wanted || shape == it.shape))
        return;
    if (it.queued)
        queue.remove(it.shape, it.place);
    it.queued = wanted;
    it.shape = shape;
    if (wanted)
        queue.add(shape, it.place);
}

void cell::state::count_task(job_entry& it, int index, int sign)
{
    auto& slot = slots[index];
    const auto& size = it.value->size;
    add_amount(slot.used, size, sign);
    add_amount(it.team->used, size, sign);
    if (sign < 0 && it.team->has_limit())
        it.team->clear_failed();
    if (it.value->priority == priority_class::urgent)
        add_amount(slot.used_by_urgent, size, sign);
    if (it.value->kind != work_kind::service)
        return;
    add_amount(slot.used_by_services, size, sign);
    add_amount(it.team->used_by_services, size, sign);
    add_count(it.in_domain, slot.domain, sign);
    add_count(it.in_rack, slot.rack, sign);
    add_count(it.on_host, index, sign);
}

void cell::state::make_claim(const task_id& id, int slot)
{
    release_claim(id);
    auto& work = *entry(id.job);
    claims[id] = {slot, work.value->size};
    slots[slot].claimed += work.value->size;
    work.claimed.insert(id.index);
    update_slot(slot);
    requeue(work);
}

void cell::state::release_claim(const task_id& id)
{
    const auto it = claims.find(id);
    if (it == claims.end())
        return;
    const auto claim = it->second;
    claims.erase(it);
    slots[claim.slot].claimed -= claim.size;
    update_slot(claim.slot);
    auto& work = *entry(id.job);
    work.claimed.erase(id.index);
    requeue(work);
}

void cell::state::make_reservation(job_reservation value)
{
    release_reservation();
    reservation = std::move(value);
    const auto& size = reservation.job->value->size;
    for (const auto& [slot, units] : reservation.units)
    {
        slots[slot].reserved = times(size, units);
        update_slot(slot);
    }
}

void cell::state::release_reservation()
{
    const auto released = std::exchange(reservation, {});
    for (const auto& [slot, units] : released.units)
    {
        slots[slot].reserved = {};
        update_slot(slot);
    }
}

void cell::state::release_job_holds(const job_entry& it)
{
    if (reservation.job == &it)
        release_reservation();
    const auto& id = it.value->id;
    auto claim = claims.lower_bound({id, 0});
    while (claim != claims.end() && claim->first.job == id)
        release_claim(task_id(std::exchange(claim, std::next(claim))->first));
}

void cell::state::release_host_holds(int slot)
{
    std::vector<task_id> lost;
    for (const auto& [id, claim] : claims)
        if (claim.slot == slot)
            lost.push_back(id);
    for (const auto& id : lost)
        release_claim(id);
    if (reservation.units.contains(slot))
        release_reservation();
}

bool cell::state::started_now(const host_task& it) const
{
    const bool gang = it.job->value->kind == work_kind::gang;
    return (gang ? it.job->round : it.round) == round;
}

void cell::state::mark_stopping(const task_id& id)
{
    const auto it = running.find(id);
    auto& slot = *this->slot(it->second.host);
    for (auto& on_host : slot.tasks)
        if (on_host.task == &it->second && !on_host.stopping)
        {
            on_host.stopping = true;
            slot.stopping += on_host.job->value->size;
        }
}

void cell::state::record_return(int slot)
{
    if (!slots[slot].admitted)
        return;
    slots[slot].admitted = false;
    returning.push_back({slot, std::nullopt});
}

} // namespace mustardwick::policy
