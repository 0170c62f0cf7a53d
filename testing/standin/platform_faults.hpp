#pragma once

#include <atomic>

namespace mustardwick::testing
{

/// @brief Faults of one port of the platform stand-in.
struct platform_faults
{
    std::atomic<bool> down{false};
    std::atomic<bool> read_only{false};
    std::atomic<int> delay_ms{0};
    std::atomic<int> lose_answers{0};
};

} // namespace mustardwick::testing
