#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardwick::testing
{

using std::chrono::milliseconds;

/// @brief One line of a scenario: a verb, words and name=value options.
struct statement
{
    int line = 0;
    std::string verb;
    std::vector<std::string> words;
    std::map<std::string, std::string> options;

    /// @brief Returns a word by position; empty when there is none.
    std::string word(std::size_t n) const;

    std::string option(const std::string& name,
                       const std::string& fallback = "") const;
    std::int64_t number(const std::string& name, std::int64_t fallback) const;
    milliseconds duration(const std::string& name, milliseconds fallback) const;
    bool flag(const std::string& name, bool fallback) const;
};

/// @brief Parses a duration such as "250ms" or "3s".
std::optional<milliseconds> parse_duration(std::string_view text);

std::optional<std::int64_t> parse_number(std::string_view text);

/// @brief Splits a scenario into statements.
///
/// Text after '#' is a comment. Single quotes allow spaces within a word.
std::vector<statement> parse_scenario(std::string_view text,
                                      std::vector<std::string>& errors);

} // namespace mustardwick::testing
