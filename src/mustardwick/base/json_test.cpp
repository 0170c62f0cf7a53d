#include "mustardwick/base/json.hpp"

#include <array>

#include <criterion/criterion.h>

#include "mustardwick/base/error.hpp"

using namespace mustardwick::base;

namespace
{

struct parse_case
{
    std::string text;
    bool accepted;
};

} // namespace

// Guards against crashes on malformed JSON and against accepting it.
Test(json, rejects_malformed_text)
{
    const std::array cases = {
        parse_case{"{}", true},
        parse_case{R"({"a":[1,2]})", true},
        parse_case{R"(["[[[[[[[["])", true},
        parse_case{"{", false},
        parse_case{"", false},
        parse_case{R"({"a":[86e1111]})", false},
        parse_case{"{\"a\":\"\xff\"}", false},
        parse_case{"{\"a\":\"\xe0\x80\x80\"}", false},
        parse_case{"{\"a\":\"\xed\xa0\x80\"}", false},
        parse_case{std::string(40, '[') + std::string(40, ']'), false},
        parse_case{std::string((1U << 20U) + 1, ' '), false},
    };
    for (const auto& it : cases)
        cr_assert_eq(parse_json(it.text).has_value(), it.accepted, "%s",
                     it.text.substr(0, 40).c_str());
}

// Guards against reporting only the first error of an object.
Test(json, reports_every_error_with_path_and_remedy)
{
    const auto value = parse_json(R"({"port":70000,"name":3,"extra":1})");
    std::vector<std::string> errors;
    object_reader reader(*value, "http", errors);
    reader.number("port", 1, 1, 65535);
    reader.text("name", "");
    reader.finish();
    cr_assert_eq(errors.size(), 3);
    cr_assert(errors[0].starts_with("http.port: found 70000; give"));
    cr_assert(errors[2].starts_with("http.extra: found 1; remove"));
}
