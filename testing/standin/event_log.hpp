#pragma once

#include <fstream>
#include <mutex>
#include <string>

#include "mustardwick/base/clock.hpp"
#include "testing/standin/json_response.hpp"

namespace mustardwick::testing
{

/// @brief An append-only file of events, one JSON object per line.
///
/// Every line is flushed at once, so that no event is lost when the process is
/// killed.
class event_log
{
public:
    explicit event_log(const base::clock& time) : clock_(time) {}

    bool open(const std::string& file);

    /// @brief Writes an event that happened at the given steady-clock time.
    ///
    /// The field "t" is the corresponding wall time in microseconds, also when
    /// the event is written later than it happened.
    void write(base::steady_time at, json_object event);

private:
    const base::clock& clock_;
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace mustardwick::testing
