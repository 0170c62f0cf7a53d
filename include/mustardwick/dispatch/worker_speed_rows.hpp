#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace mustardwick::dispatch
{

/// @brief Learned speed of one life of a worker, as the store keeps it.
struct worker_speed_row
{
    std::string worker;
    std::int64_t incarnation_start_ms = 0;
    double log_speed = 0;
    std::int32_t samples = 0;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(worker, incarnation_start_ms, log_speed, samples);
    }
};

/// @brief Value of the row that keeps the speeds over a change of leaders.
struct worker_speed_rows
{
    std::vector<worker_speed_row> workers;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(workers);
    }
};

/// With ids of up to 30 bytes the row stays below 40,000 bytes; the other
/// workers are learned anew.
inline constexpr std::size_t max_speed_rows = 600;

} // namespace mustardwick::dispatch
