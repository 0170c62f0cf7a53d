#pragma once

#include <vector>

#include "outcome.hpp"

namespace mustardwick::bench
{

/// @brief Averages the outcomes of one planner over several seeds; the list
/// must not be empty.
outcome merge(const std::vector<outcome>& all);

} // namespace mustardwick::bench
