#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/base/log.hpp"
#include "mustardwick/policy/leader_suitability.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::entry
{

using std::chrono::milliseconds;

/// @brief Time limits that the operator guarantees or requires.
struct cell_limits
{
    /// Maximum duration of a lease that a worker grants.
    milliseconds max_lease{6000};
    /// Longest time after which a call to a worker that was not answered may
    /// still be carried out.
    milliseconds max_delivery_delay{12'000};
    /// Maximum time until a new configuration is in force on all daemons.
    milliseconds config_apply{2000};
    /// Time between the signal to stop this daemon and its forced kill.
    milliseconds grace{6000};
    /// How long the state of a finished job remains available to queries.
    milliseconds retention{120'000};
    /// Maximum time that a worker takes to stop a run.
    milliseconds stop_grace{900};
    /// How far ahead of its time a timed occurrence may start.
    milliseconds early_start{250};
    /// Time between two holders of leadership.
    milliseconds leadership_lease{3000};
};

/// @brief Limits on connections that other processes open. Together they leave
/// a quarter of the descriptors to the store, the workers and outgoing calls.
struct connection_limits
{
    /// Connections of callers.
    std::size_t callers = 0;
    /// Connections to each of the readiness and metrics ports.
    std::size_t monitoring = 0;
    /// Connections of other daemons.
    std::size_t peers = 0;
    /// Bytes of requests that are being received, on all connections together.
    std::size_t max_bytes = 0;
};

/// @brief Returns the limits that suit a host.
connection_limits default_connection_limits(const policy::host_resources& host);

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
    /// Resources of this host; they decide whether it leads.
    policy::host_resources resources;
    cell_limits limits;
    connection_limits connections;
    /// Keeps work apart that slows each other down on one worker.
    bool keeps_apart = false;
    base::log_level log_level = base::log_level::info;
};

/// @brief Parses settings; returns std::nullopt on failure. Each error names
/// the field, the value found and the remedy.
std::optional<settings> parse_settings(std::string_view text,
                                       std::vector<std::string>& errors);

} // namespace mustardwick::entry
