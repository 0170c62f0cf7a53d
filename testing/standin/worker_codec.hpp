#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <cpprest/json.h>

#include "mustardwick/base/json.hpp"
#include "mustardwick/ports/worker.hpp"

namespace mustardwick::testing
{

/// @brief Parses the start and stop orders of a call; adds to the errors.
ports::task_orders parse_orders(base::object_reader& reader,
                                std::vector<std::string>& errors);

web::json::value to_json(const std::vector<wire::attempt_report>& ended);
const char* name_of(ports::attempt_state state);

} // namespace mustardwick::testing
