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
    /// Long name, optionally preceded by a letter and a comma.
    std::string name;
    std::string help;
    std::string value_name;
    std::string fallback;

    /// @brief The name without the short form.
    std::string long_name() const;
};

/// @brief Parsed command line words of one verb.
class arguments
{
public:
    /// @brief Parses words; fails on unknown options and missing values.
    static std::optional<arguments> parse(std::span<const std::string> words,
                                          std::span<const option_spec> options);

    const std::vector<std::string>& positional() const;

    /// @brief Last value of an option, or its fallback.
    std::string text(const std::string& name) const;

    /// @brief All values of a repeatable option.
    std::vector<std::string> texts(const std::string& name) const;

    /// @brief Tells whether the option was given.
    bool given(const std::string& name) const;

    /// @brief Value of an option as a whole number within a range.
    std::optional<std::int64_t> number(const std::string& name,
                                       std::int64_t min_value,
                                       std::int64_t max_value) const;

private:
    std::vector<std::string> positional_;
    std::map<std::string, std::vector<std::string>> values_;
    std::map<std::string, std::string> fallbacks_;
};

/// @brief Describes options as text, one a line.
std::string describe(std::span<const option_spec> options);

} // namespace mustardwick::cli
