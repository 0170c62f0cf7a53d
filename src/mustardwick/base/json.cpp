#include "mustardwick/base/json.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/utf8.hpp"

namespace mustardwick::base
{

namespace
{

constexpr int max_json_depth = 32;
constexpr std::size_t max_excerpt_bytes = 60;

/// Checks the nesting depth before parsing, because the parser is recursive.
bool depth_is_bounded(std::string_view text)
{
    int depth = 0;
    bool in_string = false;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        const char it = text[n];
        if (in_string && it == '\\')
            ++n;
        else if (it == '"')
            in_string = !in_string;
        else if (!in_string && (it == '{' || it == '['))
            ++depth;
        else if (!in_string && (it == '}' || it == ']'))
            --depth;
        if (depth > max_json_depth)
            return false;
    }
    return true;
}

/// Returns whether all numbers are finite. A number such as 1e999 parses as
/// infinity, which cannot be serialized as JSON.
bool numbers_are_finite(const web::json::value& value)
{
    if (value.is_double())
        return std::isfinite(value.as_double());
    if (value.is_array())
        return std::ranges::all_of(value.as_array(), numbers_are_finite);
    if (value.is_object())
        return std::ranges::all_of(value.as_object(),
                                   [](const auto& it)
                                   {
                                       return numbers_are_finite(it.second);
                                   });
    return true;
}

std::string excerpt(const web::json::value& value)
{
    auto text = value.serialize();
    if (text.size() > max_excerpt_bytes)
        text = text.substr(0, max_excerpt_bytes) + "...";
    return text;
}

} // namespace

std::optional<web::json::value> parse_json(std::string_view text,
                                           std::size_t max_bytes)
{
    if (text.size() > max_bytes)
        return fail(error_kind::too_large, "JSON text is too large",
                    "send at most " + std::to_string(max_bytes) + " bytes");
    if (!is_utf8(text))
        return fail(error_kind::invalid_input, "JSON text is not valid UTF-8",
                    "encode it as UTF-8");
    if (!depth_is_bounded(text))
        return fail(error_kind::invalid_input, "JSON is nested too deeply",
                    "nest at most " + std::to_string(max_json_depth) +
                        " levels");
    std::error_code ec;
    auto value = web::json::value::parse(std::string(text), ec);
    if (ec)
        return fail(error_kind::invalid_input,
                    "JSON does not parse: " + ec.message(), "check the syntax");
    if (!numbers_are_finite(value))
        return fail(error_kind::invalid_input, "a JSON number is too large",
                    "give numbers below 1e308");
    return value;
}

object_reader::object_reader(const web::json::value& value, std::string path,
                             std::vector<std::string>& errors)
    : value_(value), path_(std::move(path)), errors_(errors),
      is_object_(value.is_object())
{
    if (!is_object_)
        errors_.push_back(path_ + ": found " + excerpt(value) +
                          "; give an object");
}

const web::json::value* object_reader::find(const char* name)
{
    read_fields_.emplace_back(name);
    if (!is_object_)
        return nullptr;
    const auto& object = value_.as_object();
    const auto it = object.find(name);
    if (it == object.end() || it->second.is_null())
        return nullptr;
    return &it->second;
}

void object_reader::report(std::string_view name, std::string_view found,
                           std::string_view remedy)
{
    std::string line = path_;
    if (!line.empty())
        line += '.';
    line += name;
    line += ": found ";
    line += found;
    line += "; ";
    line += remedy;
    errors_.push_back(std::move(line));
}

std::string object_reader::text(const char* name, std::string fallback)
{
    const auto* it = find(name);
    if (it == nullptr)
        return fallback;
    if (!it->is_string())
    {
        report(name, excerpt(*it), "give a string");
        return fallback;
    }
    return it->as_string();
}

std::string object_reader::required_text(const char* name)
{
    const auto errors_before = errors_.size();
    auto out = text(name, {});
    const bool reported = errors_.size() > errors_before;
    if (out.empty() && is_object_ && !reported)
        report(name, "nothing", "give a string that is not empty");
    return out;
}

std::int64_t object_reader::number(const char* name, std::int64_t fallback,
                                   std::int64_t min, std::int64_t max)
{
    const auto* it = find(name);
    if (it == nullptr)
        return fallback;
    const bool is_integer = it->is_number() && it->as_number().is_int64();
    const auto n = is_integer ? it->as_number().to_int64() : 0;
    if (is_integer && n >= min && n <= max)
        return n;
    report(name, excerpt(*it),
           "give a whole number from " + std::to_string(min) + " to " +
               std::to_string(max));
    return fallback;
}

bool object_reader::flag(const char* name, bool fallback)
{
    const auto* it = find(name);
    if (it == nullptr)
        return fallback;
    if (!it->is_boolean())
    {
        report(name, excerpt(*it), "give true or false");
        return fallback;
    }
    return it->as_bool();
}

std::vector<std::string> object_reader::texts(const char* name)
{
    std::vector<std::string> out;
    const auto* it = find(name);
    if (it == nullptr)
        return out;
    if (!it->is_array())
    {
        report(name, excerpt(*it), "give an array of strings");
        return out;
    }
    for (const auto& item : it->as_array())
    {
        if (item.is_string())
            out.push_back(item.as_string());
        else
            report(name, excerpt(item), "give only strings in the array");
    }
    return out;
}

const web::json::value* object_reader::raw(const char* name)
{
    return find(name);
}

void object_reader::finish()
{
    if (!is_object_)
        return;
    for (const auto& [name, value] : value_.as_object())
    {
        if (std::find(read_fields_.begin(), read_fields_.end(), name) ==
            read_fields_.end())
            report(name, excerpt(value), "remove this unknown field");
    }
}

} // namespace mustardwick::base
