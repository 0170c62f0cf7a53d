#pragma once

#include "mustardwick/ports/table.hpp"
#include "mustardwick/wire/messages.hpp"

namespace mustardwick::testing
{

/// @brief Deliberate faults that show that the monitor can fail.
enum class defect
{
    none,
    /// Commits of the planner pass although its duty was taken.
    planner_without_guard,
    /// Orders are sent under whatever lease the worker has open, at any time.
    orders_without_lease,
    /// Non-idempotent requests are sent without a claim.
    no_claims,
    /// Parts of a team's limit are used although their commit failed.
    parts_without_commit,
    /// A configuration counts as fresh for an hour.
    stale_configuration,
    /// A host that does not answer is reported as empty at once.
    unresponsive_host_is_empty
};

/// @brief Removes the checks that a defect leaves out.
ports::transaction without_checks(ports::transaction change, defect kind);

/// @brief True when the defect takes the commit for done without a write.
bool skips_commit(const ports::transaction& change, defect kind);

/// @brief Changes reports of workers as the defect has it.
wire::task_events reports_with_defect(wire::task_events events, defect kind);

} // namespace mustardwick::testing
