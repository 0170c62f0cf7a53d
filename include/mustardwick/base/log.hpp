#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace mustardwick::base
{

enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// @brief One key=value pair of a log line.
struct field
{
    field(std::string_view k, std::string_view v) : key(k), value(v) {}

    field(std::string_view k, const char* v) : key(k), value(v) {}

    template <std::integral Number>
    field(std::string_view k, Number v) : key(k), value(std::to_string(v))
    {
    }

    std::string_view key;
    std::string value;
};

/// @brief Sets up logging to standard output: the host name of each line and
/// the lowest level that is written.
void set_up_log(std::string_view host, log_level min_level);

/// @brief Parses a level name. Returns info for an unknown name.
log_level parse_log_level(std::string_view name);

/// @brief Logs one event as a line of key=value pairs.
void log_event(log_level level, std::string_view component,
               std::string_view event,
               std::initializer_list<field> fields = {});

/// @brief Quotes and escapes a value that is empty or contains spaces, quotes,
/// backslashes or control characters; returns any other value unchanged.
std::string quote_value(std::string_view value);

} // namespace mustardwick::base
