#include "testing/scenario/statement.hpp"

#include <charconv>

namespace mustardwick::testing
{

namespace
{

struct token
{
    std::string text;
    /// Position of the '=' that separates name and value, if any.
    std::optional<std::size_t> equals;
};

bool is_space(char c)
{
    return c == ' ' || c == '\t' || c == '\r';
}

/// Consumes the next token of the text; std::nullopt at the end of the line.
std::optional<token> next_token(std::string_view& rest, bool& quote_is_open)
{
    while (!rest.empty() && is_space(rest.front()))
        rest.remove_prefix(1);
    if (rest.empty() || rest.front() == '#')
        return std::nullopt;
    token out;
    bool quoted = false;
    while (!rest.empty() && (quoted || !is_space(rest.front())))
    {
        const char c = rest.front();
        rest.remove_prefix(1);
        if (c == '\'')
        {
            quoted = !quoted;
            continue;
        }
        if (c == '=' && !quoted && !out.equals)
            out.equals = out.text.size();
        out.text += c;
    }
    quote_is_open = quoted;
    return out;
}

void add_token(statement& target, const token& value)
{
    if (target.verb.empty())
        target.verb = value.text;
    else if (value.equals && *value.equals > 0)
        target.options[value.text.substr(0, *value.equals)] =
            value.text.substr(*value.equals + 1);
    else
        target.words.push_back(value.text);
}

statement parse_line(std::string_view text, int line,
                     std::vector<std::string>& errors)
{
    statement out;
    out.line = line;
    bool quote_is_open = false;
    while (const auto it = next_token(text, quote_is_open))
        add_token(out, *it);
    if (quote_is_open)
        errors.push_back("line " + std::to_string(line) +
                         ": unterminated quote");
    return out;
}

} // namespace

std::string statement::word(std::size_t n) const
{
    return n < words.size() ? words[n] : std::string();
}

std::string statement::option(const std::string& name,
                              const std::string& fallback) const
{
    const auto it = options.find(name);
    return it == options.end() ? fallback : it->second;
}

std::int64_t statement::number(const std::string& name,
                               std::int64_t fallback) const
{
    return parse_number(option(name)).value_or(fallback);
}

milliseconds statement::duration(const std::string& name,
                                 milliseconds fallback) const
{
    return parse_duration(option(name)).value_or(fallback);
}

bool statement::flag(const std::string& name, bool fallback) const
{
    const auto text = option(name);
    return text.empty() ? fallback : text == "yes" || text == "true";
}

std::optional<std::int64_t> parse_number(std::string_view text)
{
    std::int64_t n = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, n);
    if (text.empty() || result.ec != std::errc{} || result.ptr != end)
        return std::nullopt;
    return n;
}

std::optional<milliseconds> parse_duration(std::string_view text)
{
    const bool is_short = text.ends_with("ms");
    if (!is_short && !text.ends_with("s"))
        return std::nullopt;
    text.remove_suffix(is_short ? 2 : 1);
    const auto n = parse_number(text);
    if (!n)
        return std::nullopt;
    return milliseconds(is_short ? *n : *n * 1000);
}

std::vector<statement> parse_scenario(std::string_view text,
                                      std::vector<std::string>& errors)
{
    std::vector<statement> out;
    for (int line = 1; !text.empty(); ++line)
    {
        const auto end = text.find('\n');
        auto parsed = parse_line(text.substr(0, end), line, errors);
        if (!parsed.verb.empty())
            out.push_back(std::move(parsed));
        text = end == std::string_view::npos ? "" : text.substr(end + 1);
    }
    return out;
}

} // namespace mustardwick::testing
