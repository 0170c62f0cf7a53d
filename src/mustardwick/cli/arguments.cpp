#include "mustardwick/cli/arguments.hpp"

#include <algorithm>
#include <charconv>
#include <system_error>

// With GCC 12 and sanitizers, std::regex triggers false warnings of
// uninitialized variables, so cxxopts uses its own option parser.
#define CXXOPTS_NO_REGEX
#include <cxxopts.hpp>

#include "mustardwick/base/error.hpp"

namespace mustardwick::cli
{

namespace
{

/// Declares every value as a single string: cxxopts splits list values at
/// commas, which would break up request bodies and payloads.
void declare(cxxopts::Options& parser, const option_spec& option)
{
    auto add = parser.add_options();
    if (option.value_name.empty())
        add(option.name, option.help);
    else
        add(option.name, option.help, cxxopts::value<std::string>());
}

std::vector<const char*> to_argv(std::span<const std::string> words)
{
    std::vector<const char*> out = {"mustardwick"};
    for (const auto& it : words)
        out.push_back(it.c_str());
    return out;
}

std::string label_of(const option_spec& option)
{
    const auto comma = option.name.find(',');
    auto out = "--" + option.long_name();
    if (comma != std::string::npos)
        out = "-" + option.name.substr(0, comma) + ", " + out;
    if (!option.value_name.empty())
        out += " " + option.value_name;
    return out;
}

} // namespace

std::string option_spec::long_name() const
{
    const auto comma = name.find(',');
    return comma == std::string::npos ? name : name.substr(comma + 1);
}

std::optional<arguments> arguments::parse(std::span<const std::string> words,
                                          std::span<const option_spec> options)
{
    cxxopts::Options parser("mustardwick");
    arguments out;
    for (const auto& it : options)
    {
        declare(parser, it);
        out.fallbacks_[it.long_name()] = it.fallback;
    }
    const auto argv = to_argv(words);
    try
    {
        const auto parsed =
            parser.parse(static_cast<int>(argv.size()), argv.data());
        for (const auto& it : parsed.arguments())
            out.values_[it.key()].push_back(it.value());
        out.positional_ = parsed.unmatched();
    }
    catch (const cxxopts::exceptions::exception& ex)
    {
        return base::fail(base::error_kind::invalid_input, ex.what(),
                          "see --help");
    }
    return out;
}

const std::vector<std::string>& arguments::positional() const
{
    return positional_;
}

std::string arguments::text(const std::string& name) const
{
    const auto it = values_.find(name);
    if (it != values_.end())
        return it->second.back();
    const auto fallback = fallbacks_.find(name);
    return fallback == fallbacks_.end() ? "" : fallback->second;
}

std::vector<std::string> arguments::texts(const std::string& name) const
{
    const auto it = values_.find(name);
    return it == values_.end() ? std::vector<std::string>{} : it->second;
}

bool arguments::given(const std::string& name) const
{
    return values_.contains(name);
}

std::optional<std::int64_t> arguments::number(const std::string& name,
                                              std::int64_t min_value,
                                              std::int64_t max_value) const
{
    const auto value = text(name);
    std::int64_t n = 0;
    const auto* end = value.data() + value.size();
    const auto result = std::from_chars(value.data(), end, n);
    const bool whole = result.ec == std::errc() && result.ptr == end;
    if (whole && n >= min_value && n <= max_value)
        return n;
    return base::fail(base::error_kind::invalid_input,
                      "--" + name + ": invalid value '" + value + "'",
                      "give a whole number from " + std::to_string(min_value) +
                          " to " + std::to_string(max_value));
}

std::string describe(std::span<const option_spec> options)
{
    std::size_t width = 0;
    for (const auto& it : options)
        width = std::max(width, label_of(it).size());
    std::string out;
    for (const auto& it : options)
    {
        auto label = label_of(it);
        label.resize(width, ' ');
        out += "  " + label + "  " + it.help;
        if (!it.fallback.empty())
            out += " (default: " + it.fallback + ")";
        out += '\n';
    }
    return out;
}

} // namespace mustardwick::cli
