#pragma once

#include <atomic>

namespace mustardwick::testing
{

/// @brief Atomically decrements a counter; false when it is not positive.
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
