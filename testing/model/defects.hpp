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
    /// Orders carry the lease that is open on the worker instead of the
    /// daemon's own lease.
    orders_without_lease,
    /// Commits of claims report success without being stored, so requests that
    /// are not idempotent are sent without a claim.
    no_claims,
    /// Commits to the escrow report success without being stored, so daemons
    /// use parts of a team's request limit that they do not hold.
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

/// @brief Returns the reports to the planner, falsified if the defect does so.
wire::task_events reports_with_defect(wire::task_events events, defect kind);

} // namespace mustardwick::testing
