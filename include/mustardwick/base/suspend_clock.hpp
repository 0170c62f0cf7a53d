#pragma once

#include <chrono>

namespace mustardwick::base
{

/// @brief Measures for how long the host was suspended; injected so that tests
/// can control it.
///
/// The steady clock does not count that time, so that leases and deadlines of
/// other hosts run on while it stands still here.
class suspend_clock
{
public:
    virtual ~suspend_clock() = default;

    /// @brief Returns the total time spent suspended since the host started.
    virtual std::chrono::nanoseconds suspended() const = 0;
};

/// @brief Reads the clocks of the operating system.
class system_suspend_clock final : public suspend_clock
{
public:
    std::chrono::nanoseconds suspended() const override;
};

} // namespace mustardwick::base
