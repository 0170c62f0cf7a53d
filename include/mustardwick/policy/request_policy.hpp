#pragma once

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <optional>
#include <random>
#include <span>

namespace mustardwick::policy
{

/// @brief How much of a target's slots and connections are in use.
struct target_load
{
    int slots = 0;
    int slots_used = 0;
    int connections = 0;
    int connections_used = 0;
    /// False while the target is leaving, out of service or quarantined.
    bool usable = true;

    bool has_free_capacity() const
    {
        return usable && slots_used < slots && connections_used < connections;
    }

    /// @brief Returns the utilization of slots or connections, whichever is
    /// higher: 0 when idle, 1 when full.
    double utilization() const
    {
        const auto part = [](int used, int all)
        {
            return all > 0 ? double(used) / all : 1.0;
        };
        return std::max(part(slots_used, slots),
                        part(connections_used, connections));
    }
};

/// @brief A request target that reports its load.
template <typename Target>
concept request_target = requires(const Target& it)
{
    {
        it.load()
        } -> std::convertible_to<target_load>;
};

/// @brief Compares two random targets and returns the less utilized one with
/// free capacity. When neither has any, returns the least utilized of all
/// targets with free capacity, or nullptr when there is none.
template <request_target Target, std::uniform_random_bit_generator Random>
const Target* choose_of_two(std::span<const Target> targets, Random& random)
{
    if (targets.empty())
        return nullptr;
    const auto less_loaded = [](const Target& left, const Target& right)
    {
        const target_load a = left.load();
        const target_load b = right.load();
        if (a.has_free_capacity() != b.has_free_capacity())
            return a.has_free_capacity();
        return a.utilization() < b.utilization();
    };
    std::uniform_int_distribution<std::size_t> any(0, targets.size() - 1);
    const auto first = any(random);
    auto second = any(random);
    if (second == first)
        second = (second + 1) % targets.size();
    const auto& better = less_loaded(targets[second], targets[first])
                             ? targets[second]
                             : targets[first];
    if (target_load(better.load()).has_free_capacity())
        return &better;
    const auto best = std::ranges::min_element(targets, less_loaded);
    return target_load(best->load()).has_free_capacity() ? &*best : nullptr;
}

/// @brief Chooses a target from the nearest failure domain that has free
/// capacity. Returns nullptr when no target has.
/// @param by_distance targets grouped by failure domain, the nearest first
template <request_target Target, std::uniform_random_bit_generator Random>
const Target*
choose_nearest(std::span<const std::span<const Target>> by_distance,
               Random& random)
{
    for (const auto& group : by_distance)
        if (const auto* found = choose_of_two(group, random))
            return found;
    return nullptr;
}

} // namespace mustardwick::policy
