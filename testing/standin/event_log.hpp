#pragma once

#include <fstream>
#include <mutex>
#include <string>

#include "mustardwick/base/clock.hpp"
#include "testing/standin/json_response.hpp"

namespace mustardwick::testing
{

/// @brief The record of what workers did: one JSON object a line.
///
/// Each line is flushed at once, so that a killed process loses none.
class event_log
{
public:
    explicit event_log(const base::clock& time) : clock_(time) {}

    bool open(const std::string& file);

    /// @brief Writes an event that happened at a steady time.
    ///
    /// The event gets the wall time "t" in microseconds that belongs to it,
    /// also when the process noticed it late.
    void write(base::steady_time at, json_object event);

private:
    const base::clock& clock_;
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace mustardwick::testing
