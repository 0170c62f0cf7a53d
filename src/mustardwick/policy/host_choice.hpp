#pragma once

#include <optional>

#include "cell_state.hpp"

namespace mustardwick::policy
{

/// @brief The host on which a task should start, or none when it fits nowhere.
std::optional<int> choose_host(const cell::state& state, const job_entry& work,
                               steady_time now);

/// @brief The host with the tightest fit, in the job's dominant resource;
/// hosts that got many tasks lately come last.
std::optional<int> choose_best_fit(const cell::state& state,
                                   const resources& size, steady_time now);

/// @brief The host that best spreads a service's replicas.
std::optional<int> choose_spread(const cell::state& state,
                                 const job_entry& work);

/// @brief True when a number of equal tasks fit in the cell together.
bool fits_together(const cell::state& state, const resources& size, int units);

/// @brief True when a task is known to fit on no host since space last grew.
bool is_unplaceable(cell::state& state, const resources& size);

/// @brief Remembers that a task fits on no host.
void record_unplaceable(cell::state& state, const resources& size);

} // namespace mustardwick::policy
