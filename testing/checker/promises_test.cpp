#include "testing/checker/promises.hpp"

#include <algorithm>
#include <array>
#include <sstream>

#include <criterion/criterion.h>

#include "testing/checker/evidence_reader.hpp"

using namespace mustardwick::testing;

namespace
{

const std::string facts =
    R"({"fact":"host","name":"h1","failure_domain":"north","millicpus":4000,)"
    R"("memory_mb":8000,"accelerators":1,"slots":2}
{"fact":"host","name":"h2","failure_domain":"south","millicpus":4000,)"
    R"("memory_mb":8000,"accelerators":0,"slots":2}
{"fact":"job","name":"j1","team":"acme"}
{"fact":"job","name":"j2","team":"acme"}
{"fact":"team_limit","team":"acme","t":0,"millicpus":5000,"memory_mb":99999,)"
    R"("accelerators":9,"requests":3}
)";

/// Returns a task event; `at` is in seconds.
std::string task(const std::string& event, int at, const std::string& worker,
                 const std::string& attempt, const std::string& job,
                 int millicpus)
{
    return R"({"event":"task_)" + event + R"(","t":)" +
           std::to_string(at * one_second) + R"(,"worker":")" + worker +
           R"(","attempt":")" + attempt + R"(","job":")" + job +
           R"(","index":0,"millicpus":)" + std::to_string(millicpus) + "}\n";
}

std::string request(const std::string& event, int at, const std::string& worker,
                    const std::string& attempt, const std::string& echo)
{
    return R"({"event":"request_)" + event + R"(","t":)" +
           std::to_string(at * one_second) + R"(,"worker":")" + worker +
           R"(","attempt":")" + attempt + R"(","echo":")" + echo + "\"}\n";
}

std::string call(const std::string& id, const std::string& echo,
                 const std::string& outcome, const std::string& answer,
                 bool idempotent = false)
{
    return R"({"call":"request","id":")" + id + R"(","echo":")" + echo +
           R"(","team":"acme","key":"k1","daemon":"d1","outcome":")" + outcome +
           R"(","answer":")" + answer + R"(","idempotent":)" +
           (idempotent ? "true" : "false") +
           R"(,"sent":10000000,"answered":12000000})" + "\n";
}

std::string fact(const std::string& kind, const std::string& name, int at)
{
    return R"({"fact":")" + kind + R"(","name":")" + name + R"(","t":)" +
           std::to_string(at * one_second) + "}\n";
}

std::string run_once(const std::string& echo, const std::string& attempt = "a")
{
    return request("started", 10, "h1", attempt, echo) +
           request("ended", 11, "h1", attempt, echo);
}

std::string low_limit(int at, int millicpus)
{
    return R"({"fact":"team_limit","team":"acme","t":)" +
           std::to_string(at * one_second) + R"(,"millicpus":)" +
           std::to_string(millicpus) +
           R"(,"memory_mb":99999,"accelerators":9,"requests":3})" + "\n";
}

struct promise_case
{
    std::string promise;
    std::string name;
    std::string clean;
    std::string broken;
};

bool reports(const std::string& text, const std::string& promise)
{
    evidence_reader reader;
    std::istringstream lines(facts + text);
    reader.read(lines, "test");
    const auto found = check_all(reader.result(), {});
    return std::any_of(found.begin(), found.end(),
                       [&promise](const violation& it)
                       {
                           return it.promise == promise;
                       });
}

void check(const promise_case& it)
{
    cr_expect_not(reports(it.clean, it.promise), "%s %s: clean record",
                  it.promise.c_str(), it.name.c_str());
    cr_expect(reports(it.broken, it.promise), "%s %s: broken record",
              it.promise.c_str(), it.name.c_str());
}

std::string start(int at, const char* worker, const char* attempt,
                  const char* job, int millicpus)
{
    return task("started", at, worker, attempt, job, millicpus);
}

std::string worker_start(int at, const std::string& worker)
{
    return R"({"event":"worker_started","t":)" +
           std::to_string(at * one_second) + R"(,"worker":")" + worker +
           "\"}\n";
}

std::string finish(int at, const char* worker, const char* attempt,
                   const char* job)
{
    return task("ended", at, worker, attempt, job, 0);
}

} // namespace

// Guards against a checker that misses overcommitted hosts or teams.
Test(promises, finds_excess_of_capacity_and_limits)
{
    const std::array cases = {
        promise_case{
            "P1", "processors",
            start(1, "h1", "a", "j1", 2500) + finish(2, "h1", "a", "j1") +
                start(2, "h1", "b", "j2", 2500),
            start(1, "h1", "a", "j1", 2500) + start(2, "h1", "b", "j2", 2500)},
        promise_case{
            "P1", "killed worker frees its capacity",
            start(1, "h1", "a", "j1", 2500) + fact("worker_killed", "h1", 2) +
                start(3, "h1", "b", "j2", 2500),
            start(1, "h1", "a", "j1", 2500) + fact("worker_killed", "h2", 2) +
                start(3, "h1", "b", "j2", 2500)},
        promise_case{
            "P2", "facts read before the worker's record",
            fact("worker_killed", "h1", 2) + start(1, "h1", "a", "j1", 1) +
                start(3, "h2", "b", "j1", 1),
            fact("worker_killed", "h1", 4) + start(1, "h1", "a", "j1", 1) +
                start(3, "h2", "b", "j1", 1)},
        promise_case{"P1", "slots",
                     request("started", 1, "h1", "a", "e1") +
                         request("started", 1, "h1", "b", "e2"),
                     request("started", 1, "h1", "a", "e1") +
                         request("started", 1, "h1", "b", "e2") +
                         request("started", 1, "h1", "c", "e3")},
        promise_case{"P1", "unknown host", start(1, "h1", "a", "j1", 1),
                     start(1, "h9", "a", "j1", 1)},
        promise_case{
            "P4", "processors of all hosts",
            start(1, "h1", "a", "j1", 2500) + start(2, "h2", "b", "j2", 2500),
            start(1, "h1", "a", "j1", 2500) + start(2, "h2", "b", "j2", 2501)},
        promise_case{"P4", "lowered limit",
                     low_limit(10, 1000) + start(14, "h1", "a", "j1", 2500),
                     low_limit(10, 1000) + start(16, "h1", "a", "j1", 2500)},
    };
    for (const auto& it : cases)
        check(it);
}

// Guards against a checker that misses tasks or requests that ran twice.
Test(promises, finds_work_that_ran_twice)
{
    const std::array cases = {
        promise_case{"P2", "two places at once",
                     start(1, "h1", "a", "j1", 1) + finish(2, "h1", "a", "j1") +
                         start(2, "h2", "b", "j1", 1),
                     start(1, "h1", "a", "j1", 1) +
                         start(2, "h2", "b", "j1", 1)},
        promise_case{
            "P2", "a long run hidden by a short one",
            start(1, "h1", "a", "j1", 1),
            start(1, "h1", "a", "j1", 1) + start(2, "h2", "b", "j1", 1) +
                finish(3, "h2", "b", "j1") + start(4, "h2", "c", "j1", 1) +
                finish(5, "h1", "a", "j1")},
        promise_case{"P2", "same attempt",
                     start(1, "h1", "a", "j1", 1) + finish(2, "h1", "a", "j1"),
                     start(1, "h1", "a", "j1", 1) + finish(2, "h1", "a", "j1") +
                         start(3, "h2", "a", "j1", 1)},
        promise_case{"P2", "same attempt after a restart of the worker",
                     start(1, "h1", "a", "j1", 1) + worker_start(2, "h1") +
                         start(3, "h1", "a", "j1", 1),
                     start(1, "h1", "a", "j1", 1) + worker_start(2, "h1") +
                         start(3, "h2", "a", "j1", 1)},
        promise_case{"P8", "two calls of one request",
                     call("r", "e1", "unknown", "") +
                         call("r", "e2", "done", "e1") + run_once("e1"),
                     call("r", "e1", "unknown", "") +
                         call("r", "e2", "done", "e2") + run_once("e1") +
                         run_once("e2", "b")},
        promise_case{"P8", "one call sent twice",
                     call("r", "e1", "done", "e1", true) + run_once("e1") +
                         run_once("e1", "b"),
                     call("r", "e1", "done", "e1") + run_once("e1") +
                         run_once("e1", "b")},
    };
    for (const auto& it : cases)
        check(it);
}

// Guards against a checker that misses work that was started in an
// out-of-service domain, on a leaving host or with a withdrawn key.
Test(promises, finds_forbidden_starts)
{
    const std::array cases = {
        promise_case{
            "P5", "domain out",
            fact("domain_out", "north", 1) + start(4, "h1", "a", "j1", 1) +
                start(9, "h2", "b", "j2", 1),
            fact("domain_out", "north", 1) + start(6, "h1", "a", "j1", 1)},
        promise_case{
            "P5", "domain back",
            fact("domain_out", "north", 1) + fact("domain_in", "north", 6) +
                start(7, "h1", "a", "j1", 1),
            fact("domain_out", "north", 1) + fact("domain_in", "north", 8) +
                start(7, "h1", "a", "j1", 1)},
        promise_case{
            "P9", "task on a leaving host",
            fact("host_leaving", "h1", 1) + start(5, "h1", "a", "j1", 1),
            fact("host_leaving", "h1", 1) + start(7, "h1", "a", "j1", 1)},
        promise_case{"P9", "request on a leaving host",
                     fact("host_leaving", "h2", 1) + run_once("e1"),
                     fact("host_leaving", "h1", 1) + run_once("e1")},
        promise_case{"P3", "withdrawn key",
                     fact("key_withdrawn", "k1", 7) +
                         call("r", "e1", "done", "e1") + run_once("e1"),
                     fact("key_withdrawn", "k1", 5) +
                         call("r", "e1", "done", "e1") + run_once("e1")},
    };
    for (const auto& it : cases)
        check(it);
}

// Guards against a checker that misses wrong or interrupted answers to callers,
// or lines that it cannot read.
Test(promises, finds_wrong_answers)
{
    const std::array cases = {
        promise_case{"P6", "answer of another caller",
                     call("r", "e1", "done", "e1") + run_once("e1"),
                     call("r", "e1", "done", "e2") +
                         call("s", "e2", "done", "e2") + run_once("e1") +
                         run_once("e2", "b")},
        promise_case{"P6", "answer that no target gave",
                     call("r", "e1", "unknown", ""),
                     call("r", "e1", "done", "e1")},
        promise_case{"P7", "refused but run",
                     call("r", "e1", "refused", "") +
                         call("r", "e2", "done", "e2") + run_once("e2"),
                     call("r", "e1", "refused", "") + run_once("e1")},
        promise_case{
            "P10", "planned stop",
            fact("stop_began", "d1", 9) + call("r", "e1", "no_answer", ""),
            fact("stop_began", "d1", 11) + call("r", "e1", "no_answer", "")},
        promise_case{"evidence", "damaged line", "\n", "{\"event\":\n"},
    };
    for (const auto& it : cases)
        check(it);
}
