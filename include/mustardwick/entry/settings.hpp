#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/base/log.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::entry
{

using std::chrono::milliseconds;

/// @brief Bounds that the operator guarantees or asks for.
struct cell_limits
{
    /// Longest lease that a worker grants.
    milliseconds max_lease{6000};
    /// A configuration is in force everywhere within this time.
    milliseconds config_apply{2000};
    /// Time between the request to stop and the kill.
    milliseconds grace{6000};
    /// How long the state of a finished job can be queried.
    milliseconds retention{120'000};
    /// Longest time that a worker takes to stop a run.
    milliseconds stop_grace{900};
    /// How early a timed occurrence may start.
    milliseconds early_start{250};
    /// Time between two holders of a duty.
    milliseconds leadership_lease{3000};
};

/// @brief Settings of an entry daemon that keeps its state in a remote store.
struct settings
{
    std::string name;
    std::string failure_domain;
    wire::endpoint callers;
    wire::endpoint readiness;
    wire::endpoint peers;
    wire::endpoint metrics;
    wire::endpoint store;
    wire::endpoint advisor;
    /// Share of a processor that this host provides.
    double capacity = 1.0;
    cell_limits limits;
    base::log_level log_level = base::log_level::info;
};

/// @brief Parses settings; errors name the field, what was found and the
/// remedy.
std::optional<settings> parse_settings(std::string_view text,
                                       std::vector<std::string>& errors);

} // namespace mustardwick::entry
