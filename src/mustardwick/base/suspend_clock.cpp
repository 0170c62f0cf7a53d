#include "mustardwick/base/suspend_clock.hpp"

#include <ctime>

namespace mustardwick::base
{

namespace
{

/// The clocks are read again when the process was interrupted in between.
constexpr int max_reads = 3;
constexpr std::chrono::milliseconds max_interruption{1};

std::chrono::nanoseconds read(clockid_t id)
{
    timespec out{};
    if (::clock_gettime(id, &out) != 0)
        return std::chrono::nanoseconds(0);
    return std::chrono::seconds(out.tv_sec) +
           std::chrono::nanoseconds(out.tv_nsec);
}

} // namespace

std::chrono::nanoseconds system_suspend_clock::suspended() const
{
    std::chrono::nanoseconds out{0};
    for (int it = 0; it < max_reads; ++it)
    {
        const auto before = read(CLOCK_MONOTONIC);
        out = read(CLOCK_BOOTTIME) - before;
        if (read(CLOCK_MONOTONIC) - before < max_interruption)
            break;
    }
    return out;
}

} // namespace mustardwick::base
