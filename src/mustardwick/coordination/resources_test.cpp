#include "mustardwick/coordination/resources.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace mustardwick::coordination;

namespace
{

namespace json = web::json;

std::vector<std::string> errors_of(resource_kind kind, const std::string& text)
{
    std::vector<std::string> out;
    check_desired(kind, json::value::parse(text), out);
    return out;
}

struct desired_case
{
    resource_kind kind;
    std::string desired;
    /// Expected errors; empty when the resource is valid.
    std::vector<std::string> errors;
};

const std::string amount_remedy =
    "give a whole number from -1 to 1000000000000";

const std::vector<desired_case>& desired_cases()
{
    using enum resource_kind;
    static const std::vector<desired_case> out = {
        {queue, "{}", {}},
        {queue, R"({"team": "a", "kind": "requests"})", {}},
        {queue,
         R"({"kind": "services"})",
         {"desired.kind: found services; give requests or jobs"}},
        {queue,
         R"({"team": 1, "colour": 2})",
         {"desired.team: found 1; give a string",
          "desired.colour: found 2; remove this unknown field"}},
        {team, R"({"share": 1000000, "limit_requests": 0})", {}},
        {team,
         R"({"share": 0, "limit_millicpus": -2, "limit_memory_mb": "1"})",
         {"desired.share: found 0; give a whole number from 1 to 1000000",
          "desired.limit_millicpus: found -2; " + amount_remedy,
          "desired.limit_memory_mb: found \"1\"; " + amount_remedy}},
        {team,
         R"({"limit_accelerators": 1.5, "limit_requests": 1e13})",
         {"desired.limit_accelerators: found 1.5; " + amount_remedy,
          "desired.limit_requests: found 10000000000000; " + amount_remedy}},
        {key, R"({"team": "a", "withdrawn": true})", {}},
        {key,
         R"({"withdrawn": "no"})",
         {"desired.team: found nothing; give a string that is not empty",
          "desired.withdrawn: found \"no\"; give true or false"}},
        {host,
         R"({"address": "10.0.0.1:9", "worker": "w", "failure_domain": "n"})",
         {}},
        {host,
         R"({"address": "w-1:9", "worker": "w", "failure_domain": "n"})",
         {"desired.address: found w-1:9; give an IP number and a port, such "
          "as 127.0.0.1:7400"}},
        {host,
         R"({"address": "10.0.0.1:9", "slots": 100001, "connections": -1})",
         {"desired.worker: found nothing; give a string that is not empty",
          "desired.failure_domain: found nothing; give a string that is not "
          "empty",
          "desired.slots: found 100001; give a whole number from 0 to 100000",
          "desired.connections: found -1; give a whole number from 0 to "
          "100000"}},
        {failure_domain, R"({"in_service": false, "region": "west"})", {}},
        {failure_domain,
         R"({"in_service": 1, "region": {}})",
         {"desired.in_service: found 1; give true or false",
          "desired.region: found {}; give a string"}},
        {failure_domain, "[]", {"desired: found []; give an object"}},
    };
    return out;
}

std::string joined(const std::vector<std::string>& lines)
{
    std::string out;
    for (const auto& it : lines)
        out += it + '\n';
    return out;
}

} // namespace

// Resources with invalid or unknown fields must be rejected, with errors that
// name the field, the value found and the remedy.
Test(resources, validates_desired_state_of_each_kind)
{
    for (const auto& it : desired_cases())
    {
        const auto found = joined(errors_of(it.kind, it.desired));
        cr_expect_eq(found, joined(it.errors), "%s gives:\n%s",
                     it.desired.c_str(), found.c_str());
    }
}

// The name of each kind must parse back to that kind, and other names must be
// rejected.
Test(resources, kind_names_round_trip)
{
    using enum resource_kind;
    for (const auto it : {queue, team, key, host, failure_domain})
        cr_expect(parse_resource_kind(plural_name_of(it)) == it);
    for (const auto* it : {"", "queue", "Queues", "failure_domains"})
        cr_expect_not(parse_resource_kind(it).has_value(), "accepted %s", it);
}

// Names that would break table keys or URL paths must be rejected.
Test(resources, validates_names)
{
    for (const auto& it :
         {std::string("a"), std::string("A.b_c-9"), std::string(64, 'x')})
        cr_expect(is_valid_name(it), "refused %s", it.c_str());
    for (const auto& it :
         {std::string(), std::string(65, 'x'), std::string("a/b"),
          std::string("a b"), std::string("\xc3\xa9")})
        cr_expect_not(is_valid_name(it), "accepted %s", it.c_str());
}

// The version must not decrease when an older change is applied, and a host
// must not count as in service while its failure domain is unknown or out of
// service.
Test(resources, applies_changes)
{
    using enum resource_kind;
    configuration config;
    apply_change(config, {5, host, "w", false,
                          R"({"address": "10.0.0.1:9", "worker": "w",
                              "failure_domain": "n"})"});
    cr_expect_not(config.in_service("w"));
    apply_change(config, {6, failure_domain, "n", false, "{}"});
    cr_expect(config.in_service("w"));
    apply_change(config,
                 {7, failure_domain, "n", false, R"({"in_service": false})"});
    cr_expect_not(config.in_service("w"));
    apply_change(config, {4, failure_domain, "n", true, ""});
    cr_expect_eq(config.version, 7U);
    cr_expect(config.failure_domains.empty());
}
