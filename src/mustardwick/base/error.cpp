#include "mustardwick/base/error.hpp"

#include <array>
#include <cstddef>
#include <utility>

namespace mustardwick::base
{

namespace
{

constexpr std::array<std::string_view, 13> kind_names = {
    "none",     "invalid_input", "unauthenticated", "forbidden",   "not_found",
    "conflict", "too_large",     "overloaded",      "unavailable", "timeout",
    "stale",    "canceled",      "internal"};

error& thread_error()
{
    thread_local error reason;
    return reason;
}

} // namespace

std::string_view name_of(error_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::string error::text() const
{
    return remedy.empty() ? message : message + "; " + remedy;
}

const error& last_error()
{
    return thread_error();
}

std::nullopt_t fail(error_kind kind, std::string message, std::string remedy)
{
    return fail(error{kind, std::move(message), std::move(remedy)});
}

std::nullopt_t fail(error reason)
{
    thread_error() = std::move(reason);
    return std::nullopt;
}

} // namespace mustardwick::base
