#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mustardwick::cli
{

/// @brief One option of a verb; without a value name it is a flag.
struct option_spec
{
    /// Long name, optionally preceded by a one-letter name and a comma.
    std::string name;
    std::string help;
    std::string value_name;
    std::string fallback;

    /// @brief Returns the long name without the one-letter name.
    std::string long_name() const;
};

/// @brief The parsed command line arguments of one verb.
class arguments
{
public:
    /// @brief Parses command line words.
    ///
    /// Fails with kind invalid_input on unknown options and missing values.
    static std::optional<arguments> parse(std::span<const std::string> words,
                                          std::span<const option_spec> options);

    const std::vector<std::string>& positional() const;

    /// @brief Returns the last value of an option, or its default.
    std::string text(const std::string& name) const;

    /// @brief Returns all values of a repeatable option.
    std::vector<std::string> texts(const std::string& name) const;

    /// @brief Returns whether the option was given.
    bool given(const std::string& name) const;

    /// @brief Returns the value of an option as an integer.
    ///
    /// Fails with kind invalid_input when it is not a whole number from
    /// min_value to max_value.
    std::optional<std::int64_t> number(const std::string& name,
                                       std::int64_t min_value,
                                       std::int64_t max_value) const;

private:
    std::vector<std::string> positional_;
    std::map<std::string, std::vector<std::string>> values_;
    std::map<std::string, std::string> fallbacks_;
};

/// @brief Formats the help text of options, one per line.
std::string describe(std::span<const option_spec> options);

} // namespace mustardwick::cli
