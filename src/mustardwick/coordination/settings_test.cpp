#include "mustardwick/coordination/settings.hpp"

#include <algorithm>
#include <functional>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::coordination;

namespace
{

namespace json = web::json;

json::value valid_settings()
{
    return json::value::parse(R"({
        "name": "entry-1", "failure_domain": "north", "table": "10.0.0.5:7300",
        "http": {"listen": "10.0.0.1:7400", "allow_plain": true},
        "inner": {"listen": "10.0.0.1:7401", "secret": "0123456789abcdef"},
        "operator_key": {"id": "first", "salt": "s", "hash": "h"},
        "timing": {}})");
}

std::vector<std::string> errors_of(std::string_view text)
{
    std::vector<std::string> out;
    const auto result = parse_settings(text, out);
    cr_expect_eq(result.has_value(), out.empty());
    return out;
}

/// A field of a section, or of the top level when the section is empty.
struct change
{
    std::string section;
    std::string field;
    /// JSON text; empty text removes the field.
    std::string value;
};

void apply(const change& it, json::value& target)
{
    auto& place = it.section.empty() ? target : target[it.section];
    if (!it.value.empty())
        place[it.field] = json::value::parse(it.value);
    else if (place.has_field(it.field))
        place.erase(it.field);
}

json::value changed(const std::vector<change>& changes)
{
    auto out = valid_settings();
    for (const auto& it : changes)
        apply(it, out);
    return out;
}

struct refused_case
{
    std::vector<change> changes;
    std::string error;
};

const std::string endpoint_remedy =
    "give an IP number and a port, such as 127.0.0.1:7400";
const std::string duration_remedy = "give a whole number from 1 to 3600000";

const std::vector<refused_case>& refused_cases()
{
    static const std::vector<refused_case> out = {
        {{{"", "name", ""}},
         "name: found nothing; give a string that is not empty"},
        {{{"", "name", "7"}}, "name: found 7; give a string"},
        {{{"", "failure_domain", R"("")"}},
         "failure_domain: found nothing; give a string that is not empty"},
        {{{"", "region", "[]"}}, "region: found []; give a string"},
        {{{"", "table", ""}}, "table: found nothing; " + endpoint_remedy},
        {{{"", "table", R"("table.example:7300")"}},
         "table: found table.example:7300; " + endpoint_remedy},
        {{{"", "table", R"("10.0.0.5:70000")"}},
         "table: found 10.0.0.5:70000; " + endpoint_remedy},
        {{{"", "table_timeout_ms", "0"}},
         "table_timeout_ms: found 0; " + duration_remedy},
        {{{"", "table_timeout_ms", "1.5"}},
         "table_timeout_ms: found 1.5; " + duration_remedy},
        {{{"", "log_level", R"("loud")"}},
         "log_level: found loud; give debug, info, warning or error"},
        {{{"", "http", ""}}, "http: found nothing; give an object"},
        {{{"", "inner", ""}}, "inner: found nothing; give an object"},
        {{{"", "operator_key", ""}},
         "operator_key: found nothing; give an object"},
        {{{"", "timing", "[1]"}}, "timing: found [1]; give an object"},
        {{{"http", "listen", ""}},
         "http.listen: found nothing; " + endpoint_remedy},
        {{{"http", "allow_plain", R"("yes")"},
          {"http", "certificate", R"("c")"},
          {"http", "private_key", R"("k")"}},
         "http.allow_plain: found \"yes\"; give true or false"},
        {{{"http", "allow_plain", "false"}},
         "http.certificate: found nothing; give certificate and private_key, "
         "or set allow_plain to true"},
        {{{"http", "certificate", R"("c.pem")"}},
         "http.private_key: found only one of certificate and key; give both "
         "or neither"},
        {{{"http", "private_key", R"("k.pem")"}},
         "http.private_key: found only one of certificate and key; give both "
         "or neither"},
        {{{"http", "max_body_bytes", "1023"}},
         "http.max_body_bytes: found 1023; give a whole number from 1024 to "
         "67108864"},
        {{{"http", "read_timeout_ms", "-1"}},
         "http.read_timeout_ms: found -1; " + duration_remedy},
        {{{"http", "handler_threads", "1025"}},
         "http.handler_threads: found 1025; give a whole number from 1 to "
         "1024"},
        {{{"http", "max_waiting_requests", "0"}},
         "http.max_waiting_requests: found 0; give a whole number from 1 to "
         "1000000"},
        {{{"inner", "udp", R"("7401")"}},
         "inner.udp: found 7401; " + endpoint_remedy},
        {{{"inner", "advertise_tcp", R"("x:1")"}},
         "inner.advertise_tcp: found x:1; " + endpoint_remedy},
        {{{"inner", "advertise_udp", R"("x:1")"}},
         "inner.advertise_udp: found x:1; " + endpoint_remedy},
        {{{"inner", "secret", ""}},
         "inner.secret: found nothing; give a string that is not empty"},
        {{{"inner", "secret", R"("0123456789abcde")"}},
         "inner.secret: found a short text; give at least 16 characters"},
        {{{"operator_key", "id", ""}},
         "operator_key.id: found nothing; give a string that is not empty"},
        {{{"operator_key", "salt", ""}},
         "operator_key.salt: found nothing; give a string that is not empty"},
        {{{"operator_key", "hash", ""}},
         "operator_key.hash: found nothing; give a string that is not empty"},
        {{{"timing", "member_lease_ms", "3600001"}},
         "timing.member_lease_ms: found 3600001; " + duration_remedy},
        {{{"timing", "stop_grace_ms", "true"}},
         "timing.stop_grace_ms: found true; " + duration_remedy},
        {{{"timing", "worker_renewal_ms", "7501"}},
         "timing.worker_renewal_ms: found 7501; give at most half of "
         "worker_lease_ms"},
        {{{"timing", "worker_lease_ms", "7999"}},
         "timing.worker_renewal_ms: found 4000; give at most half of "
         "worker_lease_ms"},
        {{{"timing", "table_poll_ms", "1501"}},
         "timing.table_poll_ms: found 1501; give at most half of "
         "freshness_ms"},
        {{{"", "colour", "1"}}, "colour: found 1; remove this unknown field"},
        {{{"http", "port", "80"}},
         "http.port: found 80; remove this unknown field"},
        {{{"timing", "lease_ms", "5"}},
         "timing.lease_ms: found 5; remove this unknown field"},
    };
    return out;
}

struct accepted_case
{
    std::vector<change> changes;
    std::function<bool(const settings&)> holds;
};

const std::vector<accepted_case>& accepted_cases()
{
    static const std::vector<accepted_case> out = {
        {{{"", "timing", ""}},
         [](const settings& it)
         {
             return it.timing.authority() == milliseconds{9000} &&
                    it.log_level == base::log_level::info;
         }},
        {{{"", "log_level", R"("warning")"}},
         [](const settings& it)
         {
             return it.log_level == base::log_level::warning;
         }},
        {{{"inner", "udp", R"("[fd00::1]:9")"}},
         [](const settings& it)
         {
             return it.inner.advertise_udp == wire::endpoint{"fd00::1", 9} &&
                    it.inner.advertise_tcp == it.inner.listen;
         }},
        {{{"timing", "worker_renewal_ms", "7500"}},
         [](const settings& it)
         {
             return it.timing.worker_renewal == milliseconds{7500};
         }},
        {{{"timing", "table_poll_ms", "1500"}},
         [](const settings& it)
         {
             return it.timing.table_poll == milliseconds{1500};
         }},
        {{{"http", "max_body_bytes", "67108864"}},
         [](const settings& it)
         {
             return it.http.max_body_bytes == 64U << 20U;
         }},
    };
    return out;
}

} // namespace

// Each invalid field must be rejected with one error that names the path, the
// value found and the remedy.
Test(settings, each_error_names_path_value_and_remedy)
{
    for (const auto& it : refused_cases())
    {
        const auto found = errors_of(changed(it.changes).serialize());
        cr_expect_eq(found.size(), 1U, "%zu errors instead of: %s",
                     found.size(), it.error.c_str());
        cr_expect(std::ranges::count(found, it.error) == 1,
                  "found \"%s\" instead of \"%s\"",
                  found.empty() ? "" : found.front().c_str(), it.error.c_str());
    }
}

// Values equal to a limit must be accepted, and missing fields must get their
// default values.
Test(settings, accepts_bounds_and_fills_defaults)
{
    for (const auto& it : accepted_cases())
    {
        std::vector<std::string> errors;
        const auto out =
            parse_settings(changed(it.changes).serialize(), errors);
        cr_assert(out.has_value(), "%s",
                  errors.empty() ? "" : errors.front().c_str());
        cr_expect(it.holds(*out));
    }
}

// Validation must report all errors, not only the first one.
Test(settings, reports_all_errors_in_one_run)
{
    std::vector<change> all;
    for (const auto& [section, field] :
         {std::pair{"", "colour"}, {"http", "port"}, {"timing", "lease_ms"}})
    {
        all.push_back({section, field, "1"});
    }
    all.push_back({"", "name", ""});
    all.push_back({"inner", "secret", R"("short")"});
    all.push_back({"timing", "table_poll_ms", "2000"});
    const auto found = errors_of(changed(all).serialize());
    cr_assert_eq(found.size(), all.size());
    for (const auto& it : all)
        cr_expect(std::ranges::any_of(found,
                                      [&it](const std::string& error)
                                      {
                                          return error.find(it.field + ':') !=
                                                 std::string::npos;
                                      }),
                  "no error names %s", it.field.c_str());
}

// Input that is not a JSON object must be rejected without a crash.
Test(settings, rejects_text_that_is_not_an_object)
{
    for (const auto* it : {"", "{", "[]", "7", "null", "\"a\"", "\xff"})
        cr_expect_not(errors_of(it).empty(), "accepted: %s", it);
}
