#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace mustardwick::base
{

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using std::chrono::milliseconds;

/// @brief Source of time; injected so that tests can control it.
class clock
{
public:
    virtual ~clock() = default;

    /// @brief Returns monotonic time; used for all leases and deadlines.
    virtual steady_time now() const = 0;

    /// @brief Returns wall clock time; only for logs and the time line.
    virtual wall_time wall() const = 0;
};

/// @brief Returns the wall clock time in milliseconds since 1970.
inline std::int64_t wall_ms(const clock& time)
{
    return std::chrono::duration_cast<milliseconds>(
               time.wall().time_since_epoch())
        .count();
}

/// @brief Reads the clocks of the operating system.
class system_clock final : public clock
{
public:
    steady_time now() const override;
    wall_time wall() const override;
};

/// @brief A clock that advances only through advance(); for tests.
class manual_clock final : public clock
{
public:
    steady_time now() const override;
    wall_time wall() const override;
    void advance(milliseconds step);

private:
    std::atomic<milliseconds::rep> elapsed_{1'000'000};
};

} // namespace mustardwick::base
