#pragma once

#include <map>
#include <string>

#include "mustardwick/wire/messages.hpp"

namespace mustardwick::coordination
{

/// @brief Maps each host to its holder in the form of holder_name().
using host_holders = std::map<std::string, std::string, std::less<>>;

/// @brief Removes reports of hosts whose holder is not the reporting daemon.
///
/// A daemon that was fenced, or whose report was delayed, describes a lease
/// that the worker no longer has. If it reported the worker as empty, the
/// planner would start the worker's tasks a second time. If the planner adopted
/// the old lease, all its further orders would be refused. Reports of ended
/// attempts are true whichever daemon sends them, so they are kept.
wire::task_events drop_foreign_reports(wire::task_events events,
                                       const host_holders& holders);

/// @brief Returns the name of a holder in reports: `<daemon>#<incarnation>`.
std::string holder_name(const std::string& daemon, std::uint64_t incarnation);

} // namespace mustardwick::coordination
