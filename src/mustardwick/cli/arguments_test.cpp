#include "mustardwick/cli/arguments.hpp"

#include <array>

#include <criterion/criterion.h>

#include "mustardwick/base/error.hpp"

using namespace mustardwick;
using namespace mustardwick::cli;

namespace
{

using words = std::vector<std::string>;

const std::vector<option_spec> options = {
    {"f,file", "a file", "FILE", ""},
    {"count", "a number", "N", "7"},
    {"force", "a flag", "", ""},
};

struct text_case
{
    words given;
    const char* name;
    std::string expected;
};

struct number_case
{
    words given;
    bool accepted;
};

} // namespace

// Guards against option values that are lost, split at commas or parsed as
// options.
Test(arguments, reads_values)
{
    const std::array cases = {
        text_case{{"--file", "a,b"}, "file", "a,b"},
        text_case{{"--file=a=b"}, "file", "a=b"},
        text_case{{"-f", "-"}, "file", "-"},
        text_case{{"--file", ""}, "file", ""},
        text_case{{"--file", "--x"}, "file", "--x"},
        text_case{{"--count", "1", "--count", "2"}, "count", "2"},
        text_case{{}, "count", "7"},
        text_case{{}, "file", ""},
    };
    for (const auto& it : cases)
    {
        const auto args = arguments::parse(it.given, options);
        cr_assert(args.has_value());
        cr_assert_eq(args->text(it.name), it.expected, "%s",
                     it.expected.c_str());
    }
}

// Guards against operands that are split at commas or mixed up with option
// values.
Test(arguments, does_not_split_operands)
{
    const words given = {"hosts", "--force", "a,b", "--", "--c"};
    const auto args = arguments::parse(given, options);
    cr_assert(args.has_value());
    const words expected = {"hosts", "a,b", "--c"};
    cr_assert(args->positional() == expected);
    cr_assert(args->given("force"));
    cr_assert_not(args->given("file"));
}

// Guards against mistyped options that are silently ignored.
Test(arguments, rejects_invalid_options)
{
    const std::array<words, 3> cases = {words{"--unknown"}, words{"--file"},
                                        words{"--force=maybe"}};
    for (const auto& it : cases)
    {
        cr_assert_not(arguments::parse(it, options), "%s", it[0].c_str());
        cr_assert_eq(base::last_error().kind, base::error_kind::invalid_input);
    }
}

// Guards against accepting numbers that are malformed or out of range.
Test(arguments, validates_numbers)
{
    const std::array cases = {
        number_case{{"--count", "10"}, true},
        number_case{{"--count", "11"}, false},
        number_case{{"--count", "-1"}, false},
        number_case{{"--count", "3x"}, false},
        number_case{{"--count", ""}, false},
        number_case{{"--count", "99999999999999999999"}, false},
    };
    for (const auto& it : cases)
    {
        const auto args = arguments::parse(it.given, options);
        cr_assert(args.has_value());
        cr_assert_eq(args->number("count", 0, 10).has_value(), it.accepted,
                     "%s", it.given[1].c_str());
    }
}
