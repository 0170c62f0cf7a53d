#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <cpprest/json.h>

namespace mustardwick::base
{

/// @brief Parses JSON text with a bound on its size and nesting depth.
std::optional<web::json::value> parse_json(std::string_view text,
                                           std::size_t max_bytes = 1U << 20U);

/// @brief Reads the fields of one JSON object and collects all errors.
///
/// Each error names the path of the field, what was found and the remedy.
/// Fields that nobody read are reported by finish() as unknown.
class object_reader
{
public:
    object_reader(const web::json::value& value, std::string path,
                  std::vector<std::string>& errors);

    /// @brief Reads a string; an absent field gives the fallback.
    std::string text(const char* name, std::string fallback);

    /// @brief Reads a string that must be present and not empty.
    std::string required_text(const char* name);

    /// @brief Reads a whole number within a range.
    std::int64_t number(const char* name, std::int64_t fallback,
                        std::int64_t min, std::int64_t max);

    bool flag(const char* name, bool fallback);

    /// @brief Reads an array of strings; an absent field gives none.
    std::vector<std::string> texts(const char* name);

    /// @brief Returns the raw field, or null when it is absent.
    const web::json::value* raw(const char* name);

    /// @brief Reports every field that was not read.
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
