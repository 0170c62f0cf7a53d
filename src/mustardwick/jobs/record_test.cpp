#include "mustardwick/jobs/record.hpp"

#include <array>

#include <criterion/criterion.h>

#include "mustardwick/wire/codec.hpp"

using namespace mustardwick;
using namespace mustardwick::jobs;

namespace
{

/// The record of earlier releases.
struct former_task_record
{
    task_state state = task_state::waiting;
    std::int32_t run = 0;
    std::int32_t failures = 0;
    std::string worker;
    std::int64_t worker_incarnation_start_ms = 0;
    std::string checkpoint;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(state, run, failures, worker, worker_incarnation_start_ms,
           checkpoint);
    }
};

struct count_case
{
    const char* name;
    std::vector<std::int32_t> runs;
    std::int32_t failures;
};

} // namespace

// Guards against counting one failed run twice, or a later one not at all.
Test(task_record, counts_each_failed_run_once)
{
    const std::array cases = {
        count_case{"once", {1}, 1},
        count_case{"twice the same", {1, 1}, 1},
        count_case{"in any order", {3, 1, 3, 2, 1}, 3},
        count_case{"more than are known", {1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, 10},
        count_case{"again, one that is not known any more",
                   {1, 2, 3, 4, 5, 6, 7, 8, 9, 1},
                   9},
    };
    for (const auto& it : cases)
    {
        task_record record;
        for (const auto run : it.runs)
            count_failure(record, run);
        cr_assert_eq(record.failures, it.failures, "%s", it.name);
        cr_assert_leq(record.failed_runs.size(), task_record::max_failed_runs);
    }
}

// Guards against rows that a daemon of a neighbouring release misreads: it
// reads records without failed runs, and refuses others.
Test(task_record, is_read_or_refused_by_earlier_releases)
{
    for (const int failed : {0, 1, 8})
    {
        std::vector<task_record> tasks(3);
        tasks[1].worker = "w1";
        tasks[1].checkpoint = "saved";
        for (int run = 1; run <= failed; ++run)
            count_failure(tasks[1], run);
        const auto bytes = wire::encode(tasks);
        const auto read = wire::decode<std::vector<task_record>>(bytes);
        cr_assert(read.has_value(), "%d", failed);
        cr_assert_eq(read->at(1).failures, failed);
        cr_assert(read->at(1).failed_runs == tasks[1].failed_runs);
        cr_assert_eq(read->at(1).checkpoint, "saved");
        const auto former =
            wire::decode<std::vector<former_task_record>>(bytes);
        cr_assert_eq(former.has_value(), failed == 0, "%d", failed);
    }
    std::vector<former_task_record> former(1);
    former[0].failures = 2;
    former[0].worker = "w1";
    const auto read =
        wire::decode<std::vector<task_record>>(wire::encode(former));
    cr_assert(read.has_value());
    cr_assert_eq(read->at(0).failures, 2);
    cr_assert_eq(read->at(0).worker, "w1");
}
