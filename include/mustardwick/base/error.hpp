#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace mustardwick::base
{

/// @brief Failure categories. The order is part of the protocol between daemons
/// (wire::failure::kind).
enum class error_kind
{
    none,
    invalid_input,
    unauthenticated,
    forbidden,
    not_found,
    conflict,
    too_large,
    overloaded,
    unavailable,
    timeout,
    stale,
    canceled,
    internal
};

/// @brief Returns the name of a kind as written in logs and replies.
std::string_view name_of(error_kind kind);

/// @brief A failure: what went wrong and, as remedy, what the reader can do.
struct error
{
    error_kind kind = error_kind::none;
    std::string message;
    std::string remedy;

    /// @brief Returns message and remedy in one line.
    std::string text() const;
};

/// @brief Returns the last error recorded on this thread.
const error& last_error();

/// @brief Records an error for last_error() and returns std::nullopt.
std::nullopt_t fail(error_kind kind, std::string message, std::string remedy);

/// @brief Records an error received from elsewhere, such as a peer.
std::nullopt_t fail(error reason);

} // namespace mustardwick::base
