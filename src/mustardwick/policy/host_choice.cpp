#include "host_choice.hpp"

#include <algorithm>
#include <tuple>

namespace mustardwick::policy
{

namespace
{

/// Fitting hosts compared in each failure domain. More candidates barely
/// improve packing and slow down each decision.
constexpr int packing_candidates = 4;

/// Fitting hosts visited in each failure domain, including those with many
/// recent starts. Bounds the time of one decision.
constexpr int max_visits = 48;

/// Fitting hosts of a failure domain compared for a service replica.
constexpr int spreading_candidates = 48;

/// Maximum number of sizes recorded as fitting on no host; more are rarely
/// needed.
constexpr std::size_t max_unplaceable_sizes = 64;

/// @brief Returns the fraction of a host's capacity that stays free in the
/// task's dominant resource.
double leftover(const host_slot& slot, const resources& size)
{
    const auto capacity = slot.capacity();
    const auto free = slot.free();
    const auto cpu = ratio(size.millicpus, capacity.millicpus);
    const auto memory = ratio(size.memory_mb, capacity.memory_mb);
    const auto accelerator = ratio(size.accelerators, capacity.accelerators);
    if (accelerator > 0 && accelerator >= cpu && accelerator >= memory)
        return ratio(free.accelerators - size.accelerators,
                     capacity.accelerators);
    if (cpu >= memory)
        return ratio(free.millicpus - size.millicpus, capacity.millicpus);
    return ratio(free.memory_mb - size.memory_mb, capacity.memory_mb);
}

bool wastes_accelerators(const host_slot& slot, const resources& size)
{
    return size.accelerators == 0 && slot.capacity().accelerators > 0;
}

int count_of(const std::map<int, int>& counts, int key)
{
    const auto it = counts.find(key);
    return it == counts.end() ? 0 : it->second;
}

/// @brief Returns a sort key, lowest first: hosts without unneeded
/// accelerators, racks and hosts with few replicas, then the best fit, which
/// keeps whole hosts free for large tasks and gangs.
auto spread_rank(const job_entry& work, const host_slot& slot, int index)
{
    return std::tuple(wastes_accelerators(slot, work.value->size),
                      count_of(work.in_rack, slot.rack),
                      count_of(work.on_host, index),
                      leftover(slot, work.value->size));
}

std::optional<int> spread_in(const cell::state& state,
                             const domain_entry& domain, const job_entry& work)
{
    using rank = decltype(spread_rank(work, state.slots[0], 0));
    std::optional<std::pair<rank, int>> best;
    int left = spreading_candidates;
    const auto consider = [&](std::size_t leaf)
    {
        const auto index = domain.slots[leaf];
        const auto it =
            std::pair(spread_rank(work, state.slots[index], index), index);
        if (!best || it < *best)
            best = it;
        return --left > 0;
    };
    domain.free.visit(work.value->size, 0, consider);
    return best ? std::optional(best->second) : std::nullopt;
}

} // namespace

std::optional<int> choose_best_fit(const cell::state& state,
                                   const resources& size, steady_time now)
{
    // Hosts with many unreported starts come last: a worker whose tasks all
    // fail immediately is soon empty again and would attract all waiting tasks
    // before its first failures are reported.
    std::optional<std::tuple<bool, bool, double, int>> best;
    for (const auto& domain : state.domains)
    {
        int left = packing_candidates;
        int visits = max_visits;
        domain.free.visit(size, 0,
                          [&](std::size_t leaf)
                          {
                              const auto index = domain.slots[leaf];
                              const auto& slot = state.slots[index];
                              const bool unproven = slot.recent.at_limit(now);
                              const std::tuple it(
                                  unproven, wastes_accelerators(slot, size),
                                  leftover(slot, size), index);
                              if (!best || it < *best)
                                  best = it;
                              left -= unproven ? 0 : 1;
                              return left > 0 && --visits > 0;
                          });
    }
    return best ? std::optional(std::get<3>(*best)) : std::nullopt;
}

std::optional<int> choose_spread(const cell::state& state,
                                 const job_entry& work)
{
    std::vector<std::pair<int, std::size_t>> order;
    for (std::size_t i = 0; i < state.domains.size(); ++i)
        order.emplace_back(count_of(work.in_domain, int(i)), i);
    std::ranges::sort(order);
    for (const auto& [count, i] : order)
        if (const auto found = spread_in(state, state.domains[i], work))
            return found;
    return std::nullopt;
}

std::optional<int> choose_host(const cell::state& state, const job_entry& work,
                               steady_time now)
{
    if (work.value->kind == work_kind::service)
        return choose_spread(state, work);
    return choose_best_fit(state, work.value->size, now);
}

bool fits_together(const cell::state& state, const resources& size, int units)
{
    std::int64_t missing = units;
    for (const auto& domain : state.domains)
        domain.free.visit(size, 0,
                          [&](std::size_t leaf)
                          {
                              missing -=
                                  std::min(units_in(domain.free.at(leaf), size),
                                           missing);
                              return missing > 0;
                          });
    return missing <= 0;
}

bool is_unplaceable(cell::state& state, const resources& size)
{
    if (state.failed_at != state.space_log.version())
        state.unplaceable_sizes.clear();
    state.failed_at = state.space_log.version();
    return std::ranges::any_of(state.unplaceable_sizes,
                               [&](const auto& failed)
                               {
                                   return failed.fits_in(size);
                               });
}

void record_unplaceable(cell::state& state, const resources& size)
{
    std::erase_if(state.unplaceable_sizes,
                  [&](const auto& failed)
                  {
                      return size.fits_in(failed);
                  });
    if (state.unplaceable_sizes.size() < max_unplaceable_sizes)
        state.unplaceable_sizes.push_back(size);
}

} // namespace mustardwick::policy
