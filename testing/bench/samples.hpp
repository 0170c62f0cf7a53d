#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>
#include <vector>

namespace mustardwick::bench
{

/// @brief Summary of a set of samples; all zero if there are none.
struct quantiles
{
    std::size_t count = 0;
    double p50 = 0;
    double p99 = 0;
    double max = 0;
    double mean = 0;
};

/// @brief Returns the sample closest to quantile q, 0 to 1; 0 if empty.
inline double quantile_of(const std::vector<double>& sorted, double q)
{
    if (sorted.empty())
        return 0;
    const auto i = std::lround(q * double(sorted.size() - 1));
    return sorted[std::size_t(i)];
}

/// @brief Returns the arithmetic mean; 0 if empty.
inline double mean_of(const std::vector<double>& samples)
{
    if (samples.empty())
        return 0;
    return std::accumulate(samples.begin(), samples.end(), 0.0) /
           double(samples.size());
}

inline quantiles quantiles_of(std::vector<double> samples)
{
    std::sort(samples.begin(), samples.end());
    return {samples.size(), quantile_of(samples, 0.5),
            quantile_of(samples, 0.99), quantile_of(samples, 1.0),
            mean_of(samples)};
}

} // namespace mustardwick::bench
