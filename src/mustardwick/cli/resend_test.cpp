#include <array>

#include <criterion/criterion.h>

#include "mustardwick/cli/fake_daemon_test.hpp"

using namespace mustardwick;
using namespace mustardwick::cli;
using namespace mustardwick::cli::test;

namespace
{

constexpr const char* closed_port = "127.0.0.1:1";

fake_answer done(const http::request&)
{
    return {200, R"({"outcome":"done","body":"b"})"};
}

fake_answer refused(const http::request&)
{
    return {503, R"({"outcome":"refused","reason":"full"})"};
}

std::string id_of(const http::request& call)
{
    return base::parse_json(call.body)->at("id").as_string();
}

struct resend_case
{
    words command;
    fake_answer (*second)(const http::request&);
    /// Calls that the second daemon receives after the first closed the
    /// connection without an answer.
    std::size_t expected_calls;
    exit_code expected;
};

} // namespace

// Guards against a command that fails although another daemon is reachable.
Test(resend, tries_the_next_daemon)
{
    fake_daemon daemon(done);
    const auto result = run({"stats"}, {closed_port, daemon.address()});
    cr_assert_eq(result.code, exit_code::ok);
    cr_assert_eq(run({"stats"}, {closed_port}).code, exit_code::unreachable);
    cr_assert_eq(run({"request", "--queue", "q"}, {closed_port}).code,
                 exit_code::unreachable);
}

// Guards against a second execution after a lost answer, and against reporting
// a request as refused although its first attempt may have been executed.
Test(resend, resends_only_safe_calls)
{
    const words request = {"request", "--queue", "q"};
    const std::array cases = {
        resend_case{request, done, 1, exit_code::ok},
        resend_case{request, refused, 1, exit_code::unknown_outcome},
        resend_case{{"submit", "--queue", "q"}, done, 1, exit_code::ok},
        resend_case{
            {"submit", "--queue", "q"}, refused, 1, exit_code::unknown_outcome},
        resend_case{{"withdraw-key", "k"}, done, 1, exit_code::ok},
        resend_case{{"stats"}, refused, 1, exit_code::refused},
        resend_case{{"grant-key", "k", "--team", "t"},
                    done,
                    0,
                    exit_code::unknown_outcome},
        resend_case{{"delete", "host", "h", "--version", "1"},
                    done,
                    0,
                    exit_code::unknown_outcome},
    };
    for (const auto& it : cases)
    {
        closing_daemon first;
        fake_daemon second(it.second);
        const auto result =
            run(it.command, {first.address(), second.address()});
        cr_assert_eq(result.code, it.expected, "%s: %s", it.command[0].c_str(),
                     result.err.c_str());
        cr_assert_eq(first.calls(), 1, "%s", it.command[0].c_str());
        cr_assert_eq(second.calls().size(), it.expected_calls, "%s",
                     it.command[0].c_str());
    }
}

// Guards against a retry under a new id, which would execute the request twice.
Test(resend, keeps_the_request_id)
{
    fake_daemon daemon(refused);
    closing_daemon closing;
    const auto result =
        run({"request", "--queue", "q"}, {closing.address(), daemon.address()});
    const auto id = id_of(daemon.calls()[0]);
    cr_assert(contains(result.err, "--request " + id), "%s",
              result.err.c_str());
    cr_assert(contains(closing.text(), id));
}
