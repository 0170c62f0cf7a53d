#include "mustardwick/cli/table.hpp"

#include <algorithm>

namespace mustardwick::cli
{

namespace
{

constexpr std::size_t column_gap = 2;

/// Returns the width in characters: UTF-8 continuation bytes do not count.
std::size_t width_of(std::string_view text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(),
                                                  [](char c)
                                                  {
                                                      return (c & 0xc0) != 0x80;
                                                  }));
}

/// Returns whether the text starts with a C1 control character (U+0080 to
/// U+009F), which some terminals interpret like an escape sequence.
bool is_c1_control(std::string_view text)
{
    return text.size() >= 2 && text[0] == '\xc2' &&
           static_cast<unsigned char>(text[1]) < 0xa0;
}

std::vector<std::size_t> column_widths(const table& value)
{
    std::vector<std::size_t> out;
    for (const auto& it : value.headings)
        out.push_back(width_of(it));
    for (const auto& row : value.rows)
        for (std::size_t n = 0; n < row.size() && n < out.size(); ++n)
            out[n] = std::max(out[n], width_of(printable(row[n])));
    return out;
}

void print_row(std::ostream& out, const table_row& row,
               const std::vector<std::size_t>& widths)
{
    std::string line;
    for (std::size_t n = 0; n < row.size() && n < widths.size(); ++n)
    {
        const auto cell = row[n].empty() ? "-" : printable(row[n]);
        line += cell;
        line.append(
            widths[n] - std::min(widths[n], width_of(cell)) + column_gap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
}

} // namespace

void print(std::ostream& out, const table& value)
{
    const auto widths = column_widths(value);
    print_row(out, value.headings, widths);
    for (const auto& it : value.rows)
        print_row(out, it, widths);
}

std::string printable(std::string_view text)
{
    std::string out(text);
    for (std::size_t n = 0; n < out.size(); ++n)
    {
        const auto byte = static_cast<unsigned char>(out[n]);
        if (byte < ' ' || byte == 0x7f)
            out[n] = '?';
        else if (is_c1_control(std::string_view(out).substr(n)))
            out.replace(n, 2, "??");
    }
    return out;
}

} // namespace mustardwick::cli
