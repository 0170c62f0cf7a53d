#pragma once

#include <optional>
#include <ostream>
#include <span>
#include <vector>

#include <cpprest/json.h>

#include "mustardwick/base/time_line.hpp"

namespace mustardwick::cli
{

using events = std::vector<base::time_line_event>;

/// @brief Parses the answer of /v1/timeline.
///
/// Fails with kind internal when it is malformed.
std::optional<events> parse_events(const web::json::value& body);

/// @brief Merges lists of events, ordered by time, counter and process.
///
/// An event that several lists contain appears once.
events merge_events(std::span<const events> lists);

/// @brief Prints one line per event, with the wall clock time in UTC.
void print_text(std::ostream& out, std::span<const base::time_line_event> list);

/// @brief Returns the events in the JSON format of /v1/timeline.
web::json::value to_json(std::span<const base::time_line_event> list);

/// @brief Returns the events in the Trace Event format, with one process per
/// daemon and one thread per kind of event.
web::json::value to_trace(std::span<const base::time_line_event> list);

} // namespace mustardwick::cli
