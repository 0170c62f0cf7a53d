#include "mustardwick/policy/request_policy.hpp"

#include <array>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "mustardwick/policy/admission.hpp"
#include "mustardwick/policy/quarantine.hpp"
#include "mustardwick/policy/retry_budget.hpp"

using namespace mustardwick::policy;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const std::chrono::steady_clock::time_point start_time{seconds(1000)};

struct target
{
    target_load state;

    target_load load() const
    {
        return state;
    }
};

target with_load(int slots_used, int connections_used, bool usable = true)
{
    return {{8, slots_used, 64, connections_used, usable}};
}

struct choice_case
{
    std::vector<target> targets;
    int chosen;
};

struct admission_case
{
    int queued;
    int remaining_us;
    bool admitted;
};

} // namespace

// Guards against exceeding a target's slots or connections, and against finding
// no target while one of many has free capacity.
Test(request_policy, finds_the_only_target_with_free_capacity)
{
    const std::array cases = {
        choice_case{{}, -1},
        choice_case{{with_load(8, 0)}, -1},
        choice_case{{with_load(0, 64)}, -1},
        choice_case{{with_load(0, 0, false)}, -1},
        choice_case{{with_load(8, 0), with_load(7, 0), with_load(8, 9)}, 1},
        choice_case{{with_load(1, 64), with_load(8, 1), with_load(7, 63)}, 2},
    };
    std::mt19937_64 random(1);
    for (const auto& it : cases)
        for (int i = 0; i < 20; ++i)
        {
            const auto* found =
                choose_of_two(std::span<const target>(it.targets), random);
            const int index = found ? int(found - it.targets.data()) : -1;
            cr_assert_eq(index, it.chosen);
        }
}

// Guards against traffic to other failure domains while the nearest one has
// free capacity.
Test(request_policy, prefers_the_nearest_failure_domain)
{
    std::mt19937_64 random(1);
    std::vector<target> near = {with_load(7, 0), with_load(8, 0)};
    const std::vector<target> far = {with_load(0, 0)};
    const std::array<std::span<const target>, 2> groups = {near, far};
    const std::span<const std::span<const target>> all(groups);
    cr_assert_eq(choose_nearest(all, random), &near[0]);
    near[0].state.slots_used = 8;
    cr_assert_eq(choose_nearest(all, random), &far[0]);
}

// Guards against queueing requests that will miss their deadline, and against
// refusing requests forever after one slow period.
Test(admission, refuses_requests_that_cannot_meet_their_deadline)
{
    admission_control control;
    cr_assert(control.admits(1000, 1, microseconds(1), start_time));
    for (int i = 0; i < 20; ++i)
        control.record_service(microseconds(1000), start_time);
    const std::array cases = {
        admission_case{0, 2500, true},    admission_case{0, 500, false},
        admission_case{8, 2500, true},    admission_case{80, 2500, false},
        admission_case{80, 20'000, true}, admission_case{0, 0, false},
    };
    for (const auto& it : cases)
        cr_assert_eq(control.admits(it.queued, 8, microseconds(it.remaining_us),
                                    start_time),
                     it.admitted, "queued %d", it.queued);
    cr_assert(
        control.admits(80, 8, microseconds(2500), start_time + seconds(2)));
}

// Guards against retries that amplify an overload.
Test(retry_budget, is_bounded_by_requests_and_time)
{
    retry_budget budget({0.1, 1.0, 10.0});
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
    {
        budget.record_request();
        while (budget.try_retry(start_time))
            ++retries;
    }
    cr_assert_leq(retries, 110);
    cr_assert_geq(retries, 100);
    cr_assert(!budget.try_retry(start_time));
    cr_assert(budget.try_retry(start_time + seconds(2)));
}

// Guards against a worker that keeps getting work while all of its tasks fail,
// and against one that never leaves quarantine.
Test(quarantine, probes_at_increasing_intervals)
{
    quarantine<std::string> list({3, milliseconds(100), milliseconds(300)});
    const std::string worker = "w";
    auto now = start_time;
    for (int i = 0; i < 3; ++i)
    {
        cr_assert(!list.contains(worker));
        list.record_failure(worker, now);
    }
    for (const int interval_ms : {100, 200, 300, 300})
    {
        cr_assert(list.contains(worker));
        cr_assert(!list.try_probe(worker, now + milliseconds(interval_ms - 1)));
        now += milliseconds(interval_ms);
        cr_assert(list.try_probe(worker, now));
        cr_assert(!list.try_probe(worker, now));
        list.record_failure(worker, now);
    }
    list.record_success(worker);
    cr_assert(!list.contains(worker));
}
