#pragma once

#include <cstdint>
#include <optional>

#include "mustardwick/cli/daemon_client.hpp"
#include "mustardwick/cli/resource.hpp"

namespace mustardwick::cli
{

/// @brief Returns the number of tasks running on a host or in a failure domain.
///
/// Uses the number in the resource's observed state. If the daemon does not
/// report it, counts the running tasks of all jobs that have not ended. Fails
/// with kind unavailable on temporary errors.
std::optional<std::int64_t> count_running(daemon_client& daemons,
                                          const resource_id& id);

} // namespace mustardwick::cli
