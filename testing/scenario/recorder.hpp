#pragma once

#include <string>
#include <string_view>

#include "mustardwick/base/clock.hpp"
#include "testing/standin/event_log.hpp"
#include "testing/standin/json_response.hpp"

namespace mustardwick::testing
{

/// @brief Writes callers' observations and the facts of the run for the
/// checker.
class recorder
{
public:
    explicit recorder(const base::clock& time)
        : clock_(time), calls_(time), facts_(time)
    {
    }

    bool open(const std::string& directory);

    /// @brief Records a fact that holds from the current time on.
    void fact(std::string_view kind, std::string_view name, json_object more);

    void fact(std::string_view kind, std::string_view name)
    {
        fact(kind, name, json_object());
    }

    void call(json_object line);

    /// @brief Returns the wall time in microseconds, as used in the records.
    std::int64_t now() const;

private:
    const base::clock& clock_;
    event_log calls_;
    event_log facts_;
};

} // namespace mustardwick::testing
