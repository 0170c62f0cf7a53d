#include "mustardwick/cli/table.hpp"

#include <array>
#include <sstream>

#include <criterion/criterion.h>

#include "mustardwick/base/json.hpp"
#include "mustardwick/cli/resource_table.hpp"

using namespace mustardwick;
using namespace mustardwick::cli;

namespace
{

struct print_case
{
    const char* name;
    table value;
    std::string expected;
};

} // namespace

// Guards against misaligned columns and terminal escape sequences in cells.
Test(table, prints_aligned_columns)
{
    const std::array cases = {
        print_case{"aligned",
                   {{"NAME", "N"}, {{"a", "10"}, {"longer", "2"}}},
                   "NAME    N\na       10\nlonger  2\n"},
        print_case{"empty cell", {{"A", "B"}, {{"", "x"}}}, "A  B\n-  x\n"},
        print_case{"UTF-8",
                   {{"A", "B"}, {{"Thiès", "1"}, {"Dakar", "2"}}},
                   "A      B\nThiès  1\nDakar  2\n"},
        print_case{"control characters",
                   {{"A"},
                    {{"x\x1b[2Jy\n"},
                     {"\xc2\x9b"
                      "2J"}}},
                   "A\nx?[2Jy?\n??2J\n"},
        print_case{"no rows", {{"A", "B"}, {}}, "A  B\n"},
        print_case{"short row", {{"A", "B"}, {{"x"}}}, "A  B\nx\n"},
    };
    for (const auto& it : cases)
    {
        std::ostringstream out;
        print(out, it.value);
        cr_assert_eq(out.str(), it.expected, "%s: %s", it.name,
                     out.str().c_str());
    }
}

// Guards against rows whose cells do not match the headings.
Test(table, shows_resources)
{
    const auto items = base::parse_json(
        R"([{"name":"stock","version":4,"desired":{"kind":"requests",
            "team":""},"observed":{"in_force":true,"n":2}},
            {"name":"odd","version":5,"desired":"text"}])");
    const auto out = make_resource_table("queues", *items);
    const table_row headings = {"NAME", "VERSION", "TEAM", "KIND", "OBSERVED"};
    const table_row stock = {"stock", "4", "", "requests", "in_force=true n=2"};
    const table_row odd = {"odd", "5", "", "", ""};
    cr_assert(out.headings == headings);
    cr_assert(out.rows[0] == stock);
    cr_assert(out.rows[1] == odd);
}
