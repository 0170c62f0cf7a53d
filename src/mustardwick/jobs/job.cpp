#include "mustardwick/jobs/job.hpp"

#include <array>
#include <charconv>

namespace mustardwick::jobs
{

namespace
{

template <typename Number>
bool parse_number(std::string_view text, Number& out)
{
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, out);
    return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

} // namespace

std::string to_string(const task_key& key)
{
    return key.job + '.' + std::to_string(key.occurrence) + '.' +
           std::to_string(key.step) + '.' + std::to_string(key.index);
}

std::optional<task_key> parse_task_key(std::string_view text)
{
    std::array<std::string_view, 4> parts;
    for (std::size_t it = 0; it < parts.size(); ++it)
    {
        const auto dot = text.find('.');
        if ((dot == std::string_view::npos) != (it + 1 == parts.size()))
            return std::nullopt;
        parts[it] = text.substr(0, dot);
        if (dot != std::string_view::npos)
            text.remove_prefix(dot + 1);
    }
    task_key out;
    out.job = parts[0];
    if (out.job.empty() || !parse_number(parts[1], out.occurrence) ||
        !parse_number(parts[2], out.step) || !parse_number(parts[3], out.index))
        return std::nullopt;
    return out;
}

} // namespace mustardwick::jobs
