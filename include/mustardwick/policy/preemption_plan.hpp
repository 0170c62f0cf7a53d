#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "mustardwick/policy/types.hpp"

namespace mustardwick::policy
{

/// @brief A host and those of its tasks that may be stopped and resumed later.
struct preemption_host
{
    resources free;
    /// Sizes of the tasks, the one that is stopped first in front.
    std::vector<resources> preemptible;
    /// Tasks of the waiting step that the host may take.
    int max_tasks = 0;
};

/// @brief What one host does for the waiting step.
struct host_preemption
{
    /// Index of the host.
    std::size_t host = 0;
    /// Members of the step that it takes.
    int members = 0;
    /// Number of tasks to stop, from the front.
    std::size_t preempted = 0;

    bool operator==(const host_preemption&) const = default;
};

/// @brief Chooses tasks to stop so that all members of an all-at-once step fit;
/// nothing when they would not fit all the same.
///
/// Load pattern: wide all-at-once steps in a cell that small tasks with
/// checkpoints have filled. Stopping loses little work, and room that is made
/// on all hosts at the same time is not idle while the last host becomes free.
/// @param size what one member takes
/// @param members members that have to fit
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
    // A host's later slots stop more than its earlier ones, so that they come
    // later here too.
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
