#include <array>
#include <chrono>

#include <criterion/criterion.h>

#include "mustardwick/base/log.hpp"
#include "mustardwick/entry/cell_leader.hpp"

using namespace mustardwick;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

namespace
{

constexpr auto job_id = "0123456789abcdef";
constexpr std::size_t many_rows = 100;
constexpr std::size_t many_bytes = 1'000'000;

/// A manual clock whose wall time differs from true time.
class skewed_clock final : public base::clock
{
public:
    base::steady_time now() const override
    {
        return time.now();
    }

    base::wall_time wall() const override
    {
        return time.wall() + error;
    }

    base::manual_clock time;
    milliseconds error{0};
};

void commit(dispatch::planner& plan)
{
    while (!plan.next_commit(many_rows, many_bytes).empty())
        plan.commit_done();
}

/// Ends a job and returns whether its state is known after the given time.
bool is_known_after(milliseconds age, milliseconds clock_error,
                    bool has_successor)
{
    skewed_clock clock;
    base::metrics metrics;
    const auto options = planner_options_of(settings());
    dispatch::planner first(clock, options, metrics);
    dispatch::planner second(clock, options, metrics);
    jobs::job job;
    job.id = job_id;
    job.queue = "q";
    job.steps.emplace_back();
    clock.time.advance(milliseconds(1000));
    first.submit(
        job, [] {}, [] {});
    first.cancel(job_id, [](dispatch::cancel_result) {});
    jobs::job_record record;
    record.state = jobs::job_state::cancelled;
    record.ended_ms = std::chrono::duration_cast<milliseconds>(
                          clock.wall().time_since_epoch())
                          .count();
    commit(first);
    clock.error = clock_error;
    if (has_successor)
        second.restore(job, record, false, {});
    auto& plan = has_successor ? second : first;
    clock.time.advance(age);
    plan.take_orders({});
    commit(plan);
    return plan.state_of(job_id).has_value();
}

} // namespace

struct retention_case
{
    milliseconds age;
    milliseconds clock_error;
    bool has_successor;
    bool is_known;
};

// Guards against 410 for a job that ended less than the retention ago, when the
// wall clock jumps or a successor's clock is ahead.
Test(retention, does_not_depend_on_small_clock_errors)
{
    base::set_up_log("test", base::log_level::error);
    const auto retention = settings().limits.retention;
    const auto short_of = retention - milliseconds(1);
    const auto beyond = retention + std::chrono::seconds(20);
    const std::array cases = {
        retention_case{short_of, milliseconds(0), false, true},
        retention_case{short_of, milliseconds(2000), false, true},
        retention_case{short_of, milliseconds(2000), true, true},
        retention_case{short_of, milliseconds(-2000), true, true},
        retention_case{beyond, milliseconds(0), false, false},
        retention_case{beyond, milliseconds(2000), true, false},
        retention_case{beyond, milliseconds(-2000), true, false},
    };
    for (const auto& it : cases)
        cr_assert_eq(is_known_after(it.age, it.clock_error, it.has_successor),
                     it.is_known, "age %d ms, clock error %d ms, successor %d",
                     int(it.age.count()), int(it.clock_error.count()),
                     int(it.has_successor));
}
