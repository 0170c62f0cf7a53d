#pragma once

#include <atomic>

namespace mustardwick::testing
{

/// @brief Takes one from a counter; false when it is already at zero.
inline bool decrement_if_positive(std::atomic<int>& counter)
{
    int n = counter;
    while (n > 0)
    {
        if (counter.compare_exchange_weak(n, n - 1))
            return true;
    }
    return false;
}

} // namespace mustardwick::testing
