#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::base
{

/// @brief Hybrid logical time: wall clock plus a counter, so that a cause is
/// ordered before its effects.
struct hybrid_time
{
    std::int64_t microseconds = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const hybrid_time&) const = default;
};

/// @brief One event in the time line of a process.
struct time_line_event
{
    hybrid_time time;
    std::string process;
    std::string kind;
    std::string subject;
    std::string detail;
};

/// @brief A bounded log of events; the oldest are removed first. Thread-safe.
class time_line
{
public:
    time_line(const clock& time, std::string process,
              std::size_t capacity = 4096);

    /// @brief Adds an event. Returns its time, for outgoing messages.
    hybrid_time record(std::string_view kind, std::string_view subject,
                       std::string_view detail = {});

    /// @brief Advances the logical time to at least that of a received message.
    void receive(hybrid_time remote);

    /// @brief Advances the logical time and returns it.
    hybrid_time tick();

    /// @brief Returns the events whose subject or detail contains the filter;
    /// all events for an empty filter.
    std::vector<time_line_event> events(std::string_view filter = {}) const;

private:
    hybrid_time next_time();

    const clock& clock_;
    std::string process_;
    std::size_t capacity_;
    mutable std::mutex mutex_;
    hybrid_time last_;
    std::deque<time_line_event> events_;
};

} // namespace mustardwick::base
