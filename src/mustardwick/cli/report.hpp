#pragma once

#include <string_view>

#include <cpprest/json.h>

#include "mustardwick/cli/verb.hpp"

namespace mustardwick::cli
{

/// @brief Whether a call is read-only or can change state at the daemon.
enum class effect
{
    reads,
    changes
};

/// @brief Prints last_error() and returns the exit code for its kind.
exit_code report_failure(console& io);

/// @brief Prints the daemon's error answer and returns its exit code.
///
/// After an earlier attempt whose answer was lost, a refusal does not prove
/// that nothing happened; a call that changes state then returns
/// unknown_outcome.
exit_code report_refusal(console& io, const api_answer& answer, effect kind);

/// @brief Returns a string member; empty when it is absent or not a string.
std::string text_of(const web::json::value& object, std::string_view name);

/// @brief Returns an integer member, or the fallback when it is absent or not
/// an integer.
std::int64_t number_of(const web::json::value& object, std::string_view name,
                       std::int64_t fallback = 0);

/// @brief Returns a member, or null when it is absent.
web::json::value member_of(const web::json::value& object,
                           std::string_view name);

} // namespace mustardwick::cli
