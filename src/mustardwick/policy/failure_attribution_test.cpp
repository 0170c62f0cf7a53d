#include "mustardwick/policy/failure_attribution.hpp"

#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "mustardwick/policy/types.hpp"

using namespace mustardwick::policy;

namespace
{

struct failed_run
{
    const char* host;
    const char* job;
    int index;
    int run;
};

struct attribution_case
{
    const char* name;
    /// Hosts on which a run succeeded before.
    std::vector<std::string> trusted;
    std::vector<failed_run> runs;
    /// Job that ends as failed after the runs.
    const char* failed_job;
    int on_a;
    int on_b;
};

} // namespace

// Guards against hosts that are excluded for what a job does wherever it runs,
// and against hosts that fail everything and clear each other.
Test(failure_attribution, blames_a_host_only_for_unexplained_failures)
{
    const std::vector<std::string> both = {"a", "b"};
    const attribution_case cases[] = {
        {"several jobs failed once",
         both,
         {{"a", "j", 0, 1}, {"a", "k", 0, 1}},
         "",
         2,
         0},
        {"one task failed repeatedly",
         both,
         {{"a", "j", 0, 1}, {"a", "j", 0, 2}},
         "",
         2,
         0},
        {"a task failed on two hosts",
         both,
         {{"a", "j", 0, 1}, {"b", "j", 0, 2}},
         "",
         0,
         0},
        {"a task failed on two hosts that never succeeded",
         {},
         {{"a", "j", 0, 1}, {"b", "j", 0, 2}},
         "j",
         1,
         1},
        {"two hosts failed the same jobs",
         both,
         {{"a", "j", 0, 1},
          {"a", "k", 0, 1},
          {"b", "j", 0, 2},
          {"b", "k", 0, 2}},
         "",
         1,
         1},
        {"another task failed on one of them",
         both,
         {{"a", "j", 0, 1}, {"a", "k", 0, 1}, {"b", "j", 0, 2}},
         "",
         1,
         0},
        {"a task went on failing",
         both,
         {{"a", "j", 0, 1}, {"b", "j", 0, 2}, {"b", "j", 0, 3}},
         "",
         0,
         0},
        {"the job failed on two hosts",
         {"a"},
         {{"a", "j", 0, 1}, {"b", "j", 1, 1}},
         "j",
         0,
         0},
        {"the job failed on one host",
         both,
         {{"a", "j", 0, 1}, {"a", "j", 0, 2}},
         "j",
         2,
         0},
        {"another job failed", both, {{"a", "j", 0, 1}}, "i", 1, 0},
    };
    for (const auto& it : cases)
    {
        failure_attribution<std::string, task_id> failures;
        for (const auto& host : it.trusted)
            failures.record_success(host);
        for (const auto& run : it.runs)
            failures.record_failure(run.host, {run.job, run.index}, run.run);
        failures.job_ended(it.failed_job, true);
        cr_assert_eq(failures.unexplained_failures("a"), it.on_a, "%s",
                     it.name);
        cr_assert_eq(failures.unexplained_failures("b"), it.on_b, "%s",
                     it.name);
        failures.record_success("a");
        cr_assert_eq(failures.unexplained_failures("a"), 0, "%s", it.name);
    }
}
