#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>

#include <criterion/criterion.h>

#include "mustardwick/cli/fake_daemon_test.hpp"

using namespace mustardwick;
using namespace mustardwick::cli;
using namespace mustardwick::cli::test;

namespace
{

constexpr const char* team_file =
    R"({"kind":"teams","name":"t","desired":{"share":2}})";

/// A team read at version 4 that another operator then changes to version 9.
fake_answer contested(const http::request& call)
{
    if (call.method == "GET")
        return {200, R"({"version":4,"desired":{"share":1}})"};
    if (contains(call.body, R"("version":9)"))
        return {200, R"({"version":10})"};
    return {409, R"({"message":"lost","current_version":9})"};
}

fake_answer absent(const http::request& call)
{
    if (call.method == "GET")
        return {404, R"({"message":"none"})"};
    return {201, R"({"version":1})"};
}

fake_answer same(const http::request&)
{
    return {200, R"({"version":4,"desired":{"share":2}})"};
}

} // namespace

// Guards against overwriting another operator's change without --force, and
// against --force failing on a version conflict.
Test(apply, overwrites_only_when_forced)
{
    fake_daemon daemon(contested);
    const auto plain = run({"apply", "-f", "-"}, {daemon.address()}, team_file);
    cr_assert_eq(plain.code, exit_code::refused);
    cr_assert(contains(plain.err, "current version 9"));
    const auto forced =
        run({"apply", "--force", "-f", "-"}, {daemon.address()}, team_file);
    cr_assert_eq(forced.code, exit_code::ok, "%s", forced.err.c_str());
    cr_assert(contains(forced.out, "teams/t configured (version 10)"));
}

// Guards against absent resources that are not created, and against writes of
// unchanged ones.
Test(apply, creates_absent_and_skips_unchanged_resources)
{
    fake_daemon empty(absent);
    const auto created =
        run({"apply", "-f", "-"}, {empty.address()}, team_file);
    cr_assert(contains(created.out, "created (version 1)"));
    cr_assert_eq(empty.calls()[1].method, "POST");
    fake_daemon full(same);
    const auto kept = run({"apply", "-f", "-"}, {full.address()}, team_file);
    cr_assert(contains(kept.out, "unchanged"));
    cr_assert_eq(full.calls().size(), 1);
}

// Guards against applying a part of an invalid file, or ignoring its errors.
Test(apply, rejects_an_invalid_file_as_a_whole)
{
    fake_daemon daemon(absent);
    const auto result = run({"apply", "-f", "-"}, {daemon.address()},
                            R"([{"kind":"teams","name":"t","desired":{}},
                                {"kind":"moons","nmae":"x","desired":3},
                                {"kind":"keys","name":"k","desired":{}}])");
    cr_assert_eq(result.code, exit_code::usage);
    for (const char* it : {"[1].kind", "[1].name", "[1].nmae", "[1].desired",
                           "[2].kind: found keys; use grant-key"})
        cr_assert(contains(result.err, it), "%s", result.err.c_str());
    cr_assert(daemon.calls().empty());
}

// Guards against a watch that misses or repeats changes after an interruption,
// or does not report that its version is no longer available.
Test(watch, resumes_from_the_last_version)
{
    std::atomic<int> n{0};
    fake_daemon daemon(
        [&n](const http::request&) -> fake_answer
        {
            switch (n++)
            {
            case 0:
                return {200, R"({"version":5,"items":[]})"};
            case 1:
                return {503, "{}"};
            case 2:
                return {200, R"({"version":6,"changes":[{"version":5,
                    "kind":"hosts","name":"old","operation":"put"},
                    {"version":6,"kind":"hosts","name":"new",
                    "operation":"put"}]})"};
            case 3:
                return {200, R"({"version":2,"changes":[]})"};
            case 4:
                return {410, "{}"};
            case 5:
                return {200, R"({"version":20,"items":[]})"};
            default:
                return {200, R"({"version":21,"changes":[{"version":21,
                    "kind":"hosts","name":"gone","operation":"delete"}]})"};
            }
        });
    const auto result =
        run({"watch", "hosts", "--count", "2"}, {daemon.address()});
    cr_assert_eq(result.code, exit_code::ok);
    const auto calls = daemon.calls();
    cr_assert_eq(calls.size(), 7);
    const std::array<std::string, 7> expected = {"",  "5", "5", "6",
                                                 "6", "",  "20"};
    for (std::size_t at = 0; at < calls.size(); ++at)
        cr_assert_eq(calls[at].parameter("watch"), expected.at(at), "call %zu",
                     at);
    cr_assert(contains(result.out, "6 put hosts/new"));
    cr_assert_not(contains(result.out, "hosts/old"));
    cr_assert(contains(result.out, "21 delete hosts/gone"));
    cr_assert(contains(result.err, "version 6 is too old"));
    cr_assert(contains(result.err, "interrupted: status 503"));
}

// Guards against a drain that fails on a concurrent change, changes other
// fields, or returns while tasks still run.
Test(drain, retries_conflicts_and_waits)
{
    std::atomic<int> puts{0};
    std::atomic<int> running{2};
    fake_daemon daemon(
        [&](const http::request& call) -> fake_answer
        {
            if (call.method == "PUT" && puts++ == 0)
                return {409, R"({"current_version":4})"};
            const bool drained = puts == 2;
            const auto left = drained ? running-- : running.load();
            return {200,
                    R"({"version":4,"desired":{"rack":"r1","in_service":)" +
                        std::string(drained ? "false" : "true") +
                        R"(},"observed":{"running":)" + std::to_string(left) +
                        "}}"};
        });
    const auto result =
        run({"drain", "host", "h", "--wait", "--settle-ms", "0"},
            {daemon.address()});
    cr_assert_eq(result.code, exit_code::ok, "%s", result.err.c_str());
    cr_assert_eq(puts, 2);
    cr_assert(contains(result.err, "no task runs on hosts/h"));
    for (const auto& it : daemon.calls())
        cr_assert(it.method == "GET" || contains(it.body, R"("rack":"r1")"));
    running = 1'000;
    const auto busy = run(
        {"drain", "host", "h", "--wait", "--wait-ms", "1", "--settle-ms", "0"},
        {daemon.address()});
    cr_assert_eq(busy.code, exit_code::refused);
}

// Guards against a drain that returns while tasks run, when the daemon does
// not report the number of running tasks.
Test(drain, counts_tasks_of_live_jobs)
{
    std::atomic<bool> ended{false};
    fake_daemon daemon(
        [&](const http::request& call) -> fake_answer
        {
            if (call.path == "/v1/resources/hosts")
                return {200, R"({"items":[
                    {"name":"in","desired":{"failure_domain":"z"}},
                    {"name":"out","desired":{"failure_domain":"y"}}]})"};
            if (call.path == "/v1/jobs")
                return {200, R"({"items":[{"id":"a","state":"running"},
                    {"id":"gone","state":"running"},
                    {"id":"b","state":"done"}]})"};
            if (call.path == "/v1/jobs/a" && !ended.exchange(true))
                return {200, R"({"task_states":[
                    {"state":"running","host":"in","attempt":"1"}]})"};
            if (call.path == "/v1/jobs/a")
                return {200, R"({"task_states":[
                    {"state":"finished","host":"in","attempt":"1"},
                    {"state":"placed","host":"in","attempt":""},
                    {"state":"running","host":"out","attempt":"2"}]})"};
            if (call.path.starts_with("/v1/jobs/"))
                return {404, "{}"};
            return {200, R"({"version":1,"desired":{"in_service":false}})"};
        });
    const auto result =
        run({"drain", "failure-domain", "z", "--wait", "--settle-ms", "1"},
            {daemon.address()});
    cr_assert_eq(result.code, exit_code::ok, "%s", result.err.c_str());
    for (const auto& it : daemon.calls())
        cr_assert_neq(it.path, "/v1/jobs/b");
    const auto calls = daemon.calls();
    cr_assert_eq(std::count_if(calls.begin(), calls.end(),
                               [](const auto& it)
                               {
                                   return it.path == "/v1/jobs";
                               }),
                 2);
}

// Guards against a drain that returns while daemons that have not received the
// change may still start tasks on the host.
Test(drain, waits_for_the_settle_time)
{
    fake_daemon daemon(
        [](const auto&)
        {
            return fake_answer{200, R"({"version":1,"desired":{
                "in_service":false},"observed":{"running":0}})"};
        });
    const auto started = std::chrono::steady_clock::now();
    run({"drain", "host", "h", "--wait", "--settle-ms", "700"},
        {daemon.address()});
    cr_assert_geq(std::chrono::steady_clock::now() - started,
                  std::chrono::milliseconds{700});
}

// Guards against an incomplete time line that is reported as complete.
Test(timeline, merges_daemons_and_reports_unreachable_ones)
{
    fake_daemon first(
        [](const auto&)
        {
            return fake_answer{
                200, R"({"events":[{"t":2,"c":0,"process":"d1","kind":"k",
                     "subject":"s","detail":"later"}]})"};
        });
    fake_daemon second(
        [](const auto&)
        {
            return fake_answer{
                200, R"({"events":[{"t":1,"c":0,"process":"d2","kind":"k",
                     "subject":"s","detail":"earlier"}]})"};
        });
    const words command = {"timeline", "--filter", "a&b"};
    const auto both = run(command, {first.address(), second.address()});
    cr_assert_eq(both.code, exit_code::ok);
    cr_assert_lt(both.out.find("earlier"), both.out.find("later"));
    cr_assert_eq(first.calls()[0].parameter("filter"), "a&b");
    const auto one = run(command, {first.address(), "127.0.0.1:1"});
    cr_assert_eq(one.code, exit_code::unreachable);
    cr_assert(contains(one.out, "later"));
    cr_assert(contains(one.err, "1 of 2"));
}
