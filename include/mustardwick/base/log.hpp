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

/// @brief Sets the host name and the lowest level that is written.
void set_up_log(std::string_view host, log_level min_level);

/// @brief Parses a level name; unknown names give info.
log_level parse_log_level(std::string_view name);

/// @brief Writes one line of key=value pairs for one event.
void log_event(log_level level, std::string_view component,
               std::string_view event,
               std::initializer_list<field> fields = {});

/// @brief Quotes a value when it holds spaces, quotes or control characters.
std::string quote_value(std::string_view value);

} // namespace mustardwick::base
