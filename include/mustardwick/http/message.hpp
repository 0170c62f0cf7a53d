#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "mustardwick/base/error.hpp"

namespace mustardwick::http
{

/// @brief A request as passed to a handler, with its complete body.
///
/// The server has already enforced the limit on the size of the body.
struct request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string, std::less<>> query;
    std::string authorization;
    std::string content_type;
    std::string body;

    /// @brief Returns a query parameter, or the fallback when it is absent.
    std::string parameter(std::string_view name,
                          std::string_view fallback = {}) const;
};

/// @brief The response of a handler.
struct response
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::optional<int> retry_after_seconds;
};

/// @brief Splits a request target into the decoded path and query parameters.
///
/// Returns false and sets last_error() on an invalid percent escape, a NUL or
/// text that is not UTF-8, because names from targets are logged and stored.
bool parse_target(std::string_view target, request& out);

/// @brief Returns the HTTP status for a kind of error.
int status_of(base::error_kind kind);

/// @brief Returns a JSON response with the error's kind, message and remedy.
///
/// Temporary errors carry a Retry-After of 1 second.
response error_response(const base::error& reason);

} // namespace mustardwick::http
