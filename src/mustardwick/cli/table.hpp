#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace mustardwick::cli
{

using table_row = std::vector<std::string>;

/// @brief Rows of text cells under a row of headings.
struct table
{
    table_row headings;
    std::vector<table_row> rows;
};

/// @brief Prints a table with aligned columns; empty cells are shown as "-".
void print(std::ostream& out, const table& value);

/// @brief Replaces control characters, so that untrusted text cannot send
/// escape sequences to the terminal.
std::string printable(std::string_view text);

} // namespace mustardwick::cli
