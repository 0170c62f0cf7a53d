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

struct connections_case
{
    const char* name;
    const char* fields;
    bool valid;
    std::size_t callers;
    std::size_t peers;
    std::size_t max_mb;
};

// Guards against limits on connections that do not follow the host's size:
// 2,048 callers with a full body each need more memory than a small host has.
Test(hosted_settings, derive_connection_limits_from_the_host)
{
    const std::array cases = {
        connections_case{"default host", "", true, 1536, 1024, 204},
        connections_case{"small host",
                         R"("memory_mb": 120, "max_descriptors": 3075,)", true,
                         1153, 768, 24},
        connections_case{"set by the operator",
                         R"("connections": {"callers": 10, "memory_mb": 3},)",
                         true, 10, 1024, 3},
        connections_case{"no connections", R"("connections": {"callers": 0},)",
                         false, 0, 0, 0},
        connections_case{"unknown field", R"("connections": {"caller": 5},)",
                         false, 0, 0, 0},
        connections_case{"no memory", R"("memory_mb": 0,)", false, 0, 0, 0},
        connections_case{"no link", R"("link_mbps": "wide",)", false, 0, 0, 0},
    };
    for (const auto& it : cases)
    {
        const auto text =
            std::string(R"({"name": "n", "failure_domain": "z",)") + it.fields +
            R"("callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",)" +
            R"("address": "127.0.0.1", "store": "127.0.0.1:3"})";
        std::vector<std::string> errors;
        const auto found = parse_settings(text, errors);
        cr_assert_eq(found.has_value(), it.valid, "%s", it.name);
        if (!found)
            continue;
        cr_assert_eq(found->connections.callers, it.callers, "%s", it.name);
        cr_assert_eq(found->connections.peers, it.peers, "%s", it.name);
        cr_assert_eq(found->connections.max_bytes >> 20U, it.max_mb, "%s",
                     it.name);
    }
}
