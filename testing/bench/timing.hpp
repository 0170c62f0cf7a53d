#pragma once

#include <cstdint>

#include "samples.hpp"

namespace mustardwick::bench
{

/// @brief Cost of planning decisions in a full cell with a long queue.
struct timing
{
    int workers = 0;
    int queued = 0;
    /// Microseconds from a finished task to the resulting decision.
    quantiles single_us;
    /// Decisions per second on one core, including updates of the cell.
    double per_second = 0;
    double mean_us = 0;
};

/// @brief Measures decisions with the given numbers of workers and queued jobs.
timing measure_decisions(int workers, int queued, std::uint64_t seed);

} // namespace mustardwick::bench
