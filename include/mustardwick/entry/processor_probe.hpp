#pragma once

#include <cstdint>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/policy/speed_meter.hpp"

namespace mustardwick::entry
{

/// @brief Measures how fast this host's processor is now, with a short
/// computation of fixed length.
class processor_probe
{
public:
    explicit processor_probe(const base::clock& time) : clock_(time) {}

    /// @brief Takes one sample and returns the speed relative to the best one.
    double speed()
    {
        const auto begin = clock_.now();
        std::uint64_t n = state_;
        // A chain of dependent multiplications cannot run in parallel.
        for (int it = 0; it < steps; ++it)
            n = n * multiplier + 1;
        state_ = n;
        meter_.record(clock_.now() - begin);
        return meter_.speed();
    }

private:
    static constexpr int steps = 12'000;
    static constexpr std::uint64_t multiplier = 6'364'136'223'846'793'005U;

    const base::clock& clock_;
    policy::speed_meter meter_;
    /// Keeps the compiler from removing the computation.
    volatile std::uint64_t state_ = 1;
};

} // namespace mustardwick::entry
