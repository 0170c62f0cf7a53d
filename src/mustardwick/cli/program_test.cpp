#include "mustardwick/cli/program.hpp"

#include <array>
#include <sstream>

#include <criterion/criterion.h>

#include "mustardwick/cli/fake_daemon_test.hpp"

using namespace mustardwick;
using namespace mustardwick::cli;
using namespace mustardwick::cli::test;

namespace
{

constexpr const char* refusal =
    R"({"error":"x","message":"the reason","remedy":"the remedy"})";

struct answer_case
{
    words command;
    int status;
    const char* body;
    exit_code expected;
    const char* shown;
};

struct usage_case
{
    words command;
    const char* shown;
};

} // namespace

// Guards against scripts that treat a refusal or an unknown outcome as success.
Test(program, maps_answers_to_exit_codes)
{
    const words request = {"request", "--queue", "q", "--id", "r1"};
    const words submit = {"submit", "--queue", "q", "--id", "j1"};
    const std::array cases = {
        answer_case{{"list", "hosts"}, 200, "{}", exit_code::ok, ""},
        answer_case{
            {"list", "hosts"}, 401, refusal, exit_code::refused, "the remedy"},
        answer_case{{"get", "host", "h"},
                    404,
                    refusal,
                    exit_code::refused,
                    "the reason"},
        answer_case{{"get", "host", "h"},
                    200,
                    "<html>",
                    exit_code::refused,
                    "not JSON"},
        answer_case{{"stats"}, 504, refusal, exit_code::refused, "the reason"},
        answer_case{request, 200, R"({"outcome":"done","body":"b"})",
                    exit_code::ok, ""},
        answer_case{request, 503, R"({"outcome":"refused","reason":"full"})",
                    exit_code::refused, "refused (503): full"},
        answer_case{request, 504, R"({"outcome":"unknown","reason":"lost"})",
                    exit_code::unknown_outcome, "status --request r1"},
        answer_case{{"status", "--request", "r1"},
                    200,
                    R"({"outcome":"unknown"})",
                    exit_code::unknown_outcome,
                    "outcome unknown"},
        answer_case{{"status", "--request", "r1"},
                    503,
                    refusal,
                    exit_code::unknown_outcome,
                    "the reason"},
        answer_case{request, 200, "<html>", exit_code::unknown_outcome,
                    "status --request r1"},
        answer_case{submit, 201, "{}", exit_code::ok, ""},
        answer_case{submit, 429, refusal, exit_code::refused, "the reason"},
        answer_case{submit, 500, refusal, exit_code::unknown_outcome,
                    "--id j1"},
        answer_case{{"cancel", "j1"}, 404, refusal, exit_code::refused, ""},
        answer_case{{"delete", "host", "h", "--version", "3"},
                    409,
                    R"({"message":"m","current_version":9})",
                    exit_code::refused,
                    "current version 9"},
    };
    for (const auto& it : cases)
    {
        fake_daemon daemon(
            [&it](const auto&)
            {
                return fake_answer{it.status, it.body};
            });
        const auto result = run(it.command, {daemon.address()});
        cr_assert_eq(result.code, it.expected, "%s %d: %s",
                     it.command[0].c_str(), it.status, result.err.c_str());
        cr_assert(contains(result.err, it.shown), "%s", result.err.c_str());
    }
}

// Guards against usage errors that reach a daemon or are reported without a
// remedy.
Test(program, rejects_invalid_usage)
{
    const std::array cases = {
        usage_case{{}, "Usage"},
        usage_case{{"unheard-of"}, "unknown verb"},
        usage_case{{"get", "hosts"}, "expected: KIND NAME"},
        usage_case{{"list", "planets"}, "give one of queues"},
        usage_case{{"list", "hosts", "--output", "xml"}, "table, json"},
        usage_case{{"list", "hosts", "--timeout-ms", "0"}, "whole number"},
        usage_case{{"apply"}, "give -f FILE"},
        usage_case{{"apply", "-f", "/nonexistent"}, "cannot read"},
        usage_case{{"drain", "team", "t"}, "give hosts or failure-domains"},
        usage_case{{"submit"}, "give --queue"},
        usage_case{{"submit", "--queue", "q", "--tasks", "0"}, "--tasks"},
        usage_case{{"grant-key", "k"}, "give --team"},
        usage_case{{"completion", "csh"}, "give bash"},
    };
    fake_daemon daemon(
        [](const auto&)
        {
            return fake_answer{};
        });
    for (const auto& it : cases)
    {
        const auto result = run(it.command, {daemon.address()});
        cr_assert_eq(result.code, exit_code::usage, "%s", it.shown);
        cr_assert(contains(result.err, it.shown), "%s", result.err.c_str());
    }
    cr_assert(daemon.calls().empty());
    cr_assert_eq(run({"stats"}, {}).code, exit_code::usage);
    cr_assert_eq(run({"stats"}, {"localhost"}).code, exit_code::usage);
    cr_assert_eq(run({"stats"}, {"[::1]:7400"}).code, exit_code::usage);
}

// Guards against a verb without help or examples.
Test(program, explains_every_verb)
{
    for (const auto& it : all_verbs())
    {
        const auto result = run({it.name, "--help"}, {});
        cr_assert_eq(result.code, exit_code::ok);
        cr_assert(contains(result.out, "mustardwick " + it.name), "%s",
                  it.name.c_str());
    }
    cr_assert_eq(run({"--help"}, {}).code, exit_code::ok);
}

// Guards against sending no key, or a key from a source of lower precedence.
Test(program, sends_the_key)
{
    fake_daemon daemon(
        [](const auto&)
        {
            return fake_answer{200, "{}"};
        });
    run({"stats"}, {daemon.address()});
    run({"--key", "id.other", "stats"}, {daemon.address()});
    run({"stats", "--key-file", "-"}, {daemon.address()}, "id.file\n");
    const auto calls = daemon.calls();
    cr_assert_eq(calls.size(), 3);
    cr_assert_eq(calls[0].authorization, "Bearer id.environment");
    cr_assert_eq(calls[1].authorization, "Bearer id.other");
    cr_assert_eq(calls[2].authorization, "Bearer id.file");
}

// Guards against resource names that change the path of a call.
Test(program, encodes_names)
{
    fake_daemon daemon(
        [](const auto&)
        {
            return fake_answer{200, "{}"};
        });
    run({"get", "host", "../a?b c"}, {daemon.address()});
    cr_assert_eq(daemon.calls()[0].path, "/v1/resources/hosts/../a?b c");
    cr_assert(daemon.calls()[0].query.empty());
}
