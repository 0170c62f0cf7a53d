#pragma once

#include <algorithm>
#include <cstdint>

#include "mustardwick/policy/types.hpp"

namespace mustardwick::policy
{

/// @brief Returns the resources of n tasks of one size.
inline resources times(const resources& size, std::int64_t n)
{
    return {size.millicpus * n, size.memory_mb * n, size.accelerators * n};
}

/// @brief Replaces negative amounts by zero.
inline resources at_least_zero(const resources& it)
{
    return {std::max<std::int64_t>(it.millicpus, 0),
            std::max<std::int64_t>(it.memory_mb, 0),
            std::max<std::int64_t>(it.accelerators, 0)};
}

inline double ratio(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? double(part) / double(whole) : 0.0;
}

/// @brief Returns the dominant share of an amount: the maximum, over all
/// resources, of the fraction of the capacity that it takes.
inline double dominant_share(const resources& part, const resources& whole)
{
    return std::max({ratio(part.millicpus, whole.millicpus),
                     ratio(part.memory_mb, whole.memory_mb),
                     ratio(part.accelerators, whole.accelerators)});
}

/// @brief Returns whether an amount is within a limit; a negative limit means
/// none.
inline bool within_limit(const resources& amount, const resources& limit)
{
    return (limit.millicpus < 0 || amount.millicpus <= limit.millicpus) &&
           (limit.memory_mb < 0 || amount.memory_mb <= limit.memory_mb) &&
           (limit.accelerators < 0 ||
            amount.accelerators <= limit.accelerators);
}

/// @brief Returns whether no amount is negative.
inline bool is_valid(const resources& it)
{
    return it.millicpus >= 0 && it.memory_mb >= 0 && it.accelerators >= 0;
}

} // namespace mustardwick::policy
