#include "mustardwick/policy/cell.hpp"

#include <algorithm>
#include <bit>
#include <utility>

#include "cell_state.hpp"

namespace mustardwick::policy
{

namespace
{

int domain_index(cell::state& state, const std::string& name)
{
    const auto it = std::ranges::find(state.domains, name, &domain_entry::name);
    if (it != state.domains.end())
        return int(it - state.domains.begin());
    state.domains.push_back({name, {}, {}, {}});
    return int(state.domains.size()) - 1;
}

int rack_index(cell::state& state, const host& value)
{
    // Rack names are unique only within a failure domain.
    const auto name = value.failure_domain + "/" + value.rack;
    return state.rack_of.try_emplace(name, int(state.rack_of.size()))
        .first->second;
}

int slot_index(cell::state& state, const std::string& name)
{
    const auto it = state.slot_of.find(name);
    if (it != state.slot_of.end())
        return it->second;
    auto index = int(state.slots.size());
    if (state.unused_slots.empty())
        state.slots.emplace_back();
    else
    {
        index = state.unused_slots.back();
        state.unused_slots.pop_back();
        state.slots[index] = {};
    }
    state.slots[index].name = name;
    state.slot_of.emplace(name, index);
    return index;
}

/// @brief Moves a host to another failure domain and rack, and counts its tasks
/// there.
void relocate(cell::state& state, int index, int domain, int rack)
{
    auto& slot = state.slots[index];
    for (const auto& it : slot.tasks)
        state.count_task(*it.job, index, -1);
    slot.domain = domain;
    slot.rack = rack;
    for (const auto& it : slot.tasks)
        state.count_task(*it.job, index, 1);
    state.topology_changed = true;
}

/// @brief Frees the slot of a removed host once no task runs on it.
void recycle(cell::state& state, int index)
{
    const auto& slot = state.slots[index];
    if (slot.value != nullptr || !slot.tasks.empty())
        return;
    state.slot_of.erase(slot.name);
    state.unused_slots.push_back(index);
}

} // namespace

cell::cell() : state_(std::make_unique<state>()) {}
cell::~cell() = default;
cell::cell(cell&&) noexcept = default;
cell& cell::operator=(cell&&) noexcept = default;

cell::state& cell::internals()
{
    return *state_;
}

const cell::state& cell::internals() const
{
    return *state_;
}

void cell::set_host(const host& value)
{
    // Callers set all hosts in each round, and most are unchanged.
    const auto* before_change = find_host(value.name);
    if (before_change != nullptr && *before_change == value)
        return;
    const auto index = slot_index(*state_, value.name);
    auto& slot = state_->slots[index];
    const bool known = slot.value != nullptr;
    const auto before = slot.capacity();
    const bool returns =
        known && !slot.value->accepts_work && value.accepts_work;
    if (returns && slot.has_served)
        state_->record_return(index);
    slot.has_served = slot.has_served || value.accepts_work;
    const auto it = state_->hosts.insert_or_assign(value.name, value).first;
    slot.value = &it->second;
    if (value.accepts_work)
        state_->closed.erase(index);
    else
        state_->closed.try_emplace(index);
    state_->capacity += value.capacity - before;
    const auto domain = domain_index(*state_, value.failure_domain);
    const auto rack = rack_index(*state_, value);
    if (!known || slot.domain != domain || slot.rack != rack ||
        before.accelerators != value.capacity.accelerators)
        relocate(*state_, index, domain, rack);
    else
        state_->update_slot(index);
    if (!known || before != value.capacity)
        state_->possible.clear();
}

void cell::remove_host(std::string_view name)
{
    const auto it = state_->hosts.find(name);
    if (it == state_->hosts.end())
        return;
    const auto index = state_->slot_of.find(name)->second;
    // The slot may be reused for another host, which must not inherit claims or
    // reservations.
    state_->release_host_holds(index);
    state_->capacity -= it->second.capacity;
    state_->slots[index].value = nullptr;
    state_->closed.erase(index);
    state_->hosts.erase(it);
    state_->topology_changed = true;
    state_->possible.clear();
    recycle(*state_, index);
}

void cell::set_team(const team& value)
{
    auto& it = state_->team_for(value.name);
    it.value = value;
    it.clear_failed();
}

bool cell::add_job(const job& value)
{
    const auto [it, is_new] = state_->jobs.try_emplace(value.id, value);
    if (!is_new)
        return false;
    auto& added = state_->entries[it->first];
    added.value = &it->second;
    added.team = &state_->team_for(value.team);
    for (int i = 0; i < value.tasks; ++i)
        added.pending.insert(added.pending.end(), i);
    added.place = {value.submitted, it->first, &added};
    const auto run_time = state_->usage.expected_run_time(value).count();
    added.run_time_class = int(std::bit_width(std::uint64_t(run_time)));
    state_->requeue(added);
    state_->unchecked.push_back(value.id);
    return true;
}

void cell::remove_job(std::string_view id)
{
    auto* found = state_->entry(id);
    if (found == nullptr)
        return;
    const auto running = found->running;
    for (const auto index : running)
        stop({std::string(id), index}, true);
    found->pending.clear();
    state_->requeue(*found);
    state_->release_job_holds(*found);
    const auto it = state_->jobs.find(id);
    state_->entries.erase(std::string_view(it->first));
    state_->jobs.erase(it);
}

bool cell::start(const task_id& id, std::string_view host, steady_time now)
{
    auto* found = state_->entry(id.job);
    if (found == nullptr || found->pending.erase(id.index) == 0)
        return false;
    state_->release_claim(id);
    const auto index = slot_index(*state_, std::string(host));
    const auto [it, added] = state_->running.try_emplace(
        id, running_task{id, std::string(host), now, now});
    found->running.insert(id.index);
    state_->slots[index].tasks.push_back(
        {&it->second, found, false, state_->round});
    state_->slots[index].recent.record(now);
    found->round = state_->round;
    state_->count_task(*found, index, 1);
    state_->update_slot(index);
    state_->requeue(*found);
    return true;
}

bool cell::stop(const task_id& stopped, bool finished)
{
    // A copy, because the argument may refer to the entry erased below.
    const auto id = stopped;
    const auto it = state_->running.find(id);
    if (it == state_->running.end())
        return false;
    auto& found = *state_->entry(id.job);
    const auto index = state_->slot_of.find(it->second.host)->second;
    auto& slot = state_->slots[index];
    for (const auto& on_host : slot.tasks)
        if (on_host.task == &it->second && on_host.stopping)
            slot.stopping -= found.value->size;
    std::erase_if(slot.tasks,
                  [&](const auto& on_host)
                  {
                      return on_host.task == &it->second;
                  });
    state_->count_task(found, index, -1);
    state_->update_slot(index);
    found.running.erase(id.index);
    state_->running.erase(it);
    if (!finished)
        found.pending.insert(id.index);
    else
        state_->release_claim(id);
    state_->requeue(found);
    recycle(*state_, index);
    return true;
}

bool cell::finish_pending(const task_id& id)
{
    auto* found = state_->entry(id.job);
    if (found == nullptr || found->pending.erase(id.index) == 0)
        return false;
    state_->release_claim(id);
    state_->requeue(*found);
    return true;
}

void cell::checkpoint(const task_id& id, steady_time time)
{
    const auto it = state_->running.find(id);
    if (it != state_->running.end())
        it->second.checkpointed = std::max(it->second.checkpointed, time);
}

const host* cell::find_host(std::string_view name) const
{
    const auto it = state_->hosts.find(name);
    return it == state_->hosts.end() ? nullptr : &it->second;
}

const job* cell::find_job(std::string_view id) const
{
    const auto it = state_->jobs.find(id);
    return it == state_->jobs.end() ? nullptr : &it->second;
}

const team& cell::team_of(std::string_view name) const
{
    static const team unknown;
    const auto it = state_->teams.find(name);
    return it == state_->teams.end() ? unknown : it->second.value;
}

const running_task* cell::find_running(const task_id& id) const
{
    const auto it = state_->running.find(id);
    return it == state_->running.end() ? nullptr : &it->second;
}

resources cell::used(std::string_view host) const
{
    const auto* found = state_->slot(host);
    return found == nullptr ? resources{} : found->used;
}

resources cell::used_by_team(std::string_view team) const
{
    const auto it = state_->teams.find(team);
    return it == state_->teams.end() ? resources{} : it->second.used;
}

resources cell::total_capacity() const
{
    return state_->capacity;
}

int cell::pending(std::string_view job) const
{
    const auto* found = state_->entry(job);
    return found == nullptr ? 0 : int(found->pending.size());
}

const std::map<std::string, host, std::less<>>& cell::hosts() const
{
    return state_->hosts;
}

const std::map<std::string, job, std::less<>>& cell::jobs() const
{
    return state_->jobs;
}

const std::map<task_id, running_task>& cell::running() const
{
    return state_->running;
}

usage_history& cell::usage()
{
    return state_->usage;
}

} // namespace mustardwick::policy
