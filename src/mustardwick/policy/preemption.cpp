#include "round.hpp"

#include <algorithm>

#include "mustardwick/base/identity.hpp"

namespace mustardwick::policy
{

namespace
{

/// Hosts compared in each failure domain for a single urgent task.
constexpr int preemption_candidates = 8;

/// Cost factors: a normal-class victim outweighs any number of best-effort
/// ones, and a service replica outweighs batch tasks of its class.
constexpr double class_factor = 1e12;
constexpr double service_factor = 1e4;

struct victim
{
    job_entry* job = nullptr;
    int index = 0;
    resources size;
    double cost = 0;
    int tasks = 1;
};

/// @brief The victims and cost of starting a number of tasks on one host.
struct preemption_option
{
    int slot = -1;
    int units = 0;
    std::vector<victim> victims;
    double cost = 0;
    int tasks = 0;
};

double cost_of(const round& it, const host_task& task)
{
    const auto& work = *task.job->value;
    double cost = 1 + lost_work(it, task);
    if (work.kind == work_kind::gang)
        cost *= double(task.job->running.size());
    if (work.kind == work_kind::service)
        cost *= service_factor;
    return work.priority == priority_class::normal ? cost * class_factor : cost;
}

std::vector<victim> victims_on(const round& it, const host_slot& slot)
{
    std::vector<victim> found;
    for (const auto& on_host : slot.tasks)
    {
        const auto& work = *on_host.job;
        if (work.value->priority == priority_class::urgent ||
            on_host.stopping || it.state.started_now(on_host))
            continue;
        const bool gang = work.value->kind == work_kind::gang;
        const int tasks = gang ? int(work.running.size()) : 1;
        found.push_back({on_host.job, on_host.task->id.index, work.value->size,
                         cost_of(it, on_host), tasks});
    }
    std::ranges::sort(found, {}, &victim::cost);
    return found;
}

/// @brief Returns the resources on a host that urgent work may take without
/// preemption.
resources space_for_urgent(const round& it, const host_slot& slot)
{
    auto space = slot.capacity() - slot.used - slot.claimed + slot.stopping;
    const auto* holder = it.state.reservation.job;
    if (holder != nullptr && holder->value->priority == priority_class::urgent)
        space -= slot.reserved;
    return space;
}

/// @brief Selects victims on a host, the cheapest first, then drops those not
/// needed. Returns std::nullopt when the tasks do not fit even so.
std::optional<preemption_option> evaluate(const round& it, int index,
                                          const resources& size, int units)
{
    const auto& slot = it.state.slots[index];
    const auto needed = times(size, units);
    auto space = space_for_urgent(it, slot);
    preemption_option option{index, units, {}, 0, 0};
    for (const auto& candidate : victims_on(it, slot))
    {
        if (needed.fits_in(space))
            break;
        space += candidate.size;
        option.victims.push_back(candidate);
    }
    if (!needed.fits_in(space))
        return std::nullopt;
    for (auto i = option.victims.size(); i-- > 0;)
    {
        const auto without = space - option.victims[i].size;
        if (!needed.fits_in(without))
            continue;
        space = without;
        option.victims.erase(option.victims.begin() + i);
    }
    for (const auto& victim : option.victims)
    {
        option.cost += victim.cost;
        option.tasks += victim.tasks;
    }
    return option;
}

/// @brief Returns the examined hosts on which preemption frees enough
/// resources, the cheapest per task first.
std::vector<preemption_option> find_options(const round& it,
                                            const job_entry& work)
{
    const auto& size = work.value->size;
    const int units = work.shape.units;
    std::vector<preemption_option> options;
    for (const auto& domain : it.state.domains)
    {
        int left = units == 1 ? preemption_candidates : int(1e6);
        const auto consider = [&](std::size_t leaf)
        {
            const auto fit = units_in(domain.preemptible.at(leaf), size);
            const int n = int(std::min<std::int64_t>(fit, units));
            if (auto option = evaluate(it, domain.slots[leaf], size, n))
                options.push_back(std::move(*option));
            return --left > 0;
        };
        const auto count = std::max<std::size_t>(domain.slots.size(), 1);
        const auto from = base::stable_hash(work.value->id) % count;
        domain.preemptible.visit(size, from, consider);
        if (left > 0 && units == 1)
            domain.preemptible.visit(size, 0, consider);
        else if (units > 1 && from > 0)
            domain.preemptible.visit(size, 0,
                                     [&](std::size_t leaf)
                                     {
                                         return leaf < from && consider(leaf);
                                     });
    }
    std::ranges::sort(options, {},
                      [](const auto& option)
                      {
                          return std::pair(option.cost / option.units,
                                           option.slot);
                      });
    return options;
}

/// @brief Returns the cheapest options that together fit all tasks; empty when
/// there are too few or the round does not allow the removals.
std::vector<preemption_option> choose_options(const round& it,
                                              const job_entry& work)
{
    std::vector<preemption_option> chosen;
    int missing = work.shape.units;
    int removals = 0;
    for (auto& option : find_options(it, work))
    {
        if (missing == 0)
            break;
        option.units = std::min(option.units, missing);
        missing -= option.units;
        removals += option.tasks;
        chosen.push_back(std::move(option));
    }
    if (missing > 0 || (removals > 0 && !it.may_remove(removals)))
        chosen.clear();
    return chosen;
}

void remove_victims(round& it, const preemption_option& option)
{
    for (const auto& victim : option.victims)
    {
        // The same gang may already be removed as a victim on another host.
        const bool running = victim.job->running.contains(victim.index);
        if (running && !(it.removed.contains(victim.job) &&
                         victim.job->value->kind == work_kind::gang))
            it.remove(*victim.job, victim.index, removal_reason::preempted);
    }
}

std::vector<int> unclaimed(const job_entry& work)
{
    std::vector<int> found;
    for (const auto index : work.pending)
        if (!work.claimed.contains(index))
            found.push_back(index);
    return found;
}

bool fits_now(const host_slot& slot, const resources& size, int units)
{
    return times(size, units)
        .fits_in(slot.capacity() - slot.used - slot.claimed);
}

} // namespace

double lost_work(const round& it, const host_task& task)
{
    const auto& running = *task.task;
    const auto saved = std::max(running.started, running.checkpointed);
    const auto lost = std::chrono::duration_cast<milliseconds>(it.now - saved);
    const auto share = dominant_share(task.job->value->size, it.state.capacity);
    return double(std::max<std::int64_t>(lost.count(), 0)) * (1 + share);
}

bool preempt_for(round& it, job_entry& work)
{
    const auto chosen = choose_options(it, work);
    if (chosen.empty())
        return false;
    for (const auto& option : chosen)
        remove_victims(it, option);
    const bool now =
        std::ranges::all_of(chosen,
                            [&](const auto& option)
                            {
                                return fits_now(it.state.slots[option.slot],
                                                work.value->size, option.units);
                            });
    const auto indexes = unclaimed(work);
    auto index = indexes.begin();
    for (const auto& option : chosen)
        for (int i = 0; i < option.units; ++i, ++index)
        {
            if (now)
                it.place(work, *index, option.slot);
            else
                it.state.make_claim({work.value->id, *index}, option.slot);
        }
    return true;
}

} // namespace mustardwick::policy
