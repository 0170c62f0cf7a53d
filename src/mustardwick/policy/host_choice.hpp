#pragma once

#include <optional>

#include "cell_state.hpp"

namespace mustardwick::policy
{

/// @brief Returns the slot of the host on which a job's next task should start,
/// or std::nullopt when it fits on no host.
std::optional<int> choose_host(const cell::state& state, const job_entry& work,
                               steady_time now);

/// @brief Returns the host with the best fit in the task's dominant resource.
/// Hosts with many recent starts come last.
std::optional<int> choose_best_fit(const cell::state& state,
                                   const resources& size, steady_time now);

/// @brief Returns the host that best spreads a service's replicas.
std::optional<int> choose_spread(const cell::state& state,
                                 const job_entry& work);

/// @brief Returns whether a number of tasks of one size fit in the cell
/// together.
bool fits_together(const cell::state& state, const resources& size, int units);

/// @brief Returns whether a size was found to fit on no host since free space
/// last grew.
bool is_unplaceable(cell::state& state, const resources& size);

/// @brief Records that a size fits on no host.
void record_unplaceable(cell::state& state, const resources& size);

} // namespace mustardwick::policy
