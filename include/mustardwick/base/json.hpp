#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <cpprest/json.h>

namespace mustardwick::base
{

/// @brief Parses JSON text of limited size and nesting depth.
///
/// Returns std::nullopt with last_error(): too_large when the text exceeds
/// max_bytes; invalid_input when it is not valid UTF-8, is nested too deeply,
/// has a syntax error or contains a number that is not finite.
std::optional<web::json::value> parse_json(std::string_view text,
                                           std::size_t max_bytes = 1U << 20U);

/// @brief Reads the fields of one JSON object and collects all errors.
///
/// Each error states the path of the field, the value found and a remedy.
/// finish() reports the fields that were not read as unknown.
class object_reader
{
public:
    object_reader(const web::json::value& value, std::string path,
                  std::vector<std::string>& errors);

    /// @brief Reads a string. Returns the fallback when the field is absent or
    /// of another type.
    std::string text(const char* name, std::string fallback);

    /// @brief Reads a string that must be present and not empty. Returns an
    /// empty string after an error.
    std::string required_text(const char* name);

    /// @brief Reads an integer from min to max, both included. Returns the
    /// fallback when the field is absent or invalid.
    std::int64_t number(const char* name, std::int64_t fallback,
                        std::int64_t min, std::int64_t max);

    /// @brief Reads a boolean. Returns the fallback when the field is absent or
    /// of another type.
    bool flag(const char* name, bool fallback);

    /// @brief Reads an array of strings; empty when the field is absent.
    std::vector<std::string> texts(const char* name);

    /// @brief Returns the value of a field and marks it as read; nullptr when
    /// it is absent or null.
    const web::json::value* raw(const char* name);

    /// @brief Adds an error for every field that was not read.
    void finish();

    /// @brief Adds an error for a field of this object.
    void report(std::string_view name, std::string_view found,
                std::string_view remedy);

    const std::string& path() const
    {
        return path_;
    }

private:
    const web::json::value* find(const char* name);

    const web::json::value& value_;
    std::string path_;
    std::vector<std::string>& errors_;
    std::vector<std::string> read_fields_;
    bool is_object_;
};

} // namespace mustardwick::base
