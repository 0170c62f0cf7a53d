#pragma once

#include "mustardwick/ports/table.hpp"
#include "mustardwick/wire/messages.hpp"

namespace mustardwick::testing
{

/// @brief Defects injected into the model, to test that the monitor detects
/// them.
enum class defect
{
    none,
    /// The planner commits without checking that it is still the leader.
    planner_without_guard,
    /// Orders name the lease that is open on the worker instead of the
    /// daemon's own lease.
    orders_without_lease,
    /// Non-idempotent requests are sent without a stored claim.
    no_claims,
    /// Daemons use parts of a team's request limit that they did not commit.
    parts_without_commit,
    /// A configuration counts as fresh for 1 h after it was read.
    stale_configuration,
    /// An unresponsive host is reported as free of tasks at once.
    unresponsive_host_is_empty
};

/// @brief Returns the transaction without the checks that the defect omits.
ports::transaction without_checks(ports::transaction change, defect kind);

/// @brief Returns whether the defect reports this commit as successful
/// without writing it.
bool skips_commit(const ports::transaction& change, defect kind);

/// @brief Returns the worker reports as the defect falsifies them.
wire::task_events reports_with_defect(wire::task_events events, defect kind);

} // namespace mustardwick::testing
