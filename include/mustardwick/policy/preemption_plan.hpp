#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "mustardwick/policy/types.hpp"

namespace mustardwick::policy
{

/// @brief A host's free resources and its preemptible tasks.
struct preemption_host
{
    resources free;
    /// Sizes of the tasks that may be stopped and resumed later, in preemption
    /// order.
    std::vector<resources> preemptible;
    /// Maximum number of the waiting step's tasks that the host may run.
    int max_tasks = 0;
};

/// @brief The part of a preemption plan that concerns one host.
struct host_preemption
{
    /// Index of the host.
    std::size_t host = 0;
    /// Members of the waiting step placed on the host.
    int members = 0;
    /// Number of tasks to stop, from the front of the preemptible tasks.
    std::size_t preempted = 0;

    bool operator==(const host_preemption&) const = default;
};

/// @brief Chooses tasks to stop so that all members of an all-at-once step fit.
/// Returns std::nullopt when they would not fit even then.
///
/// Load pattern: wide all-at-once steps in a cell filled with small
/// checkpointing tasks. Stopping these loses little work, and preempting on all
/// hosts at once leaves no capacity idle while waiting for the last host.
/// @param size resources of one member
/// @param members number of members that have to fit
inline std::optional<std::vector<host_preemption>>
plan_preemption(std::span<const preemption_host> hosts, const resources& size,
                int members)
{
    struct slot
    {
        std::int64_t preempted_millicpus = 0;
        std::size_t host = 0;
        std::size_t tasks = 0;
    };
    std::vector<slot> slots;
    for (std::size_t host = 0; host < hosts.size(); ++host)
    {
        auto free = hosts[host].free;
        std::int64_t preempted = 0;
        std::size_t tasks = 0;
        for (int n = 0; n < hosts[host].max_tasks; ++n)
        {
            while (!size.fits_in(free) &&
                   tasks < hosts[host].preemptible.size())
            {
                free += hosts[host].preemptible[tasks];
                preempted += hosts[host].preemptible[tasks].millicpus;
                ++tasks;
            }
            if (!size.fits_in(free))
                break;
            free -= size;
            slots.push_back({preempted, host, tasks});
        }
    }
    if (slots.size() < std::size_t(members))
        return std::nullopt;
    // Slots of one host stay in order, because later ones never preempt less
    // than earlier ones and the sort is stable.
    std::stable_sort(slots.begin(), slots.end(),
                     [](const slot& left, const slot& right)
                     {
                         return left.preempted_millicpus <
                                right.preempted_millicpus;
                     });
    std::vector<host_preemption> out(hosts.size());
    for (int n = 0; n < members; ++n)
    {
        const auto& it = slots[std::size_t(n)];
        out[it.host].host = it.host;
        ++out[it.host].members;
        out[it.host].preempted = std::max(out[it.host].preempted, it.tasks);
    }
    std::erase_if(out,
                  [](const host_preemption& it)
                  {
                      return it.members == 0;
                  });
    return out;
}

} // namespace mustardwick::policy
