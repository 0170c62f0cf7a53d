#include "mustardwick/entry/settings.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

struct duration_case
{
    const char* limits;
    /// 0 when the settings are refused.
    milliseconds grace;
};

// Guards against a daemon that does not start because a duration of the
// platform has a fraction.
Test(hosted_settings, accept_durations_with_a_fraction)
{
    const std::array cases = {
        duration_case{"", milliseconds(6000)},
        duration_case{R"("grace_s": 4)", milliseconds(4000)},
        duration_case{R"("grace_s": 4.5)", milliseconds(4500)},
        duration_case{R"("grace_ms": 4500.4)", milliseconds(4500)},
        duration_case{R"("grace_s": -1)", milliseconds(0)},
        duration_case{R"("grace_s": 3601)", milliseconds(0)},
        duration_case{R"("grace_s": "4")", milliseconds(0)},
    };
    for (const auto& it : cases)
    {
        const auto text =
            std::string(R"({"name": "n", "failure_domain": "z",)") +
            R"("callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",)" +
            R"("address": "127.0.0.1", "store": "127.0.0.1:3",)" +
            R"("limits": {)" + it.limits + "}}";
        std::vector<std::string> errors;
        const auto found = parse_settings(text, errors);
        cr_assert_eq(found.has_value(), it.grace.count() > 0, "%s", it.limits);
        cr_assert_eq(errors.empty(), found.has_value(), "%s", it.limits);
        if (found)
            cr_assert_eq(found->limits.grace.count(), it.grace.count(), "%s",
                         it.limits);
    }
}
