#include "mustardwick/policy/leader_suitability.hpp"
#include "mustardwick/policy/speed_meter.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick::policy;
using std::chrono::milliseconds;

namespace
{

const host_resources large{0.5, 200, 512, 8192};
const host_resources narrow{0.3, 10, 400, 10'250};
const host_resources small{0.09, 10, 120, 3075};

} // namespace

struct rank_case
{
    const char* name;
    host_resources better;
    host_condition better_condition;
    host_resources worse;
    host_condition worse_condition;
    int tier_of_worse;
};

// Guards against a leader with a narrow link or a slow processor while a better
// host is there: it lost 1,271 runs on a day without any other fault.
Test(leader_suitability, ranks_hosts_by_their_scarcest_resource)
{
    const milliseconds late{400};
    const std::array cases = {
        rank_case{"narrow link", large, {}, narrow, {}, 2},
        rank_case{"few processors", large, {}, {0.2, 200, 512, 8192}, {}, 1},
        rank_case{"about equal", large, {}, {0.4, 200, 512, 8192}, {}, 0},
        rank_case{"few descriptors", large, {}, {0.5, 200, 512, 400}, {}, 2},
        rank_case{"little memory", large, {}, {0.5, 200, 24, 8192}, {}, 2},
        rank_case{"turned slow", large, {}, large, {0.2, {}}, 2},
        rank_case{
            "squeezed link", large, {}, {0.5, 40, 512, 8192}, {1.0, late}, 2},
        rank_case{"slow large one behind a small one",
                  small,
                  {},
                  large,
                  {0.02, {}},
                  2},
    };
    const auto needs = needs_of_cell(350);
    for (const auto& it : cases)
    {
        const auto better =
            suitability_of(it.better, it.better_condition, needs);
        const auto worse = suitability_of(it.worse, it.worse_condition, needs);
        cr_assert_gt(better, worse, "%s", it.name);
        cr_assert_eq(succession_tier(worse, better), it.tier_of_worse, "%s",
                     it.name);
        cr_assert_eq(succession_tier(better, better), 0, "%s", it.name);
    }
}

struct review_case
{
    const char* name;
    int recent_hand_overs;
    double best;
    /// Time of the first hand-over; 0 for none within two minutes.
    int due_ms;
};

// Guards against a leader that stays although a better member is there, and
// against leadership that wanders between members of similar suitability.
Test(leader_suitability, hands_over_with_hysteresis_and_bound)
{
    const std::array cases = {
        review_case{"much better", 0, 4.0, 1500},
        review_case{"similar", 0, 1.4, 0},
        review_case{"second in a row", 1, 4.0, 6000},
        review_case{"third in a row", 2, 4.0, 24'000},
        review_case{"later ones stay bounded", 9, 4.0, 96'000},
    };
    for (const auto& it : cases)
    {
        const leader_review::time_point begin{};
        leader_review review(begin, it.recent_hand_overs);
        int due = 0;
        for (int ms = 0; ms <= 120'000 && due == 0; ms += 100)
            if (review.is_due(begin + milliseconds(ms), 1.0, it.best))
                due = ms;
        cr_assert_eq(due, it.due_ms, "%s: %d", it.name, due);
    }
}

// Guards against a hand-over because of a single slow measurement, which the
// load of a large state causes.
Test(leader_suitability, ignores_a_short_slowdown)
{
    const leader_review::time_point begin{};
    leader_review review(begin, 0);
    for (int ms = 0; ms <= 20'000; ms += 100)
    {
        const double own = ms % 1000 < 600 ? 0.2 : 1.0;
        cr_assert_not(review.is_due(begin + milliseconds(ms), own, 1.0));
    }
}

// Guards against a bound on hand-overs that is never lifted again.
Test(leader_suitability, forgets_hand_overs_after_a_long_term)
{
    const leader_review::time_point begin{};
    const leader_review review(begin, 2);
    cr_assert_eq(review.next_hand_overs(begin + milliseconds(5000)), 3);
    cr_assert_eq(review.next_hand_overs(begin + milliseconds(61'000)), 1);
}

struct speed_case
{
    const char* name;
    std::array<int, 8> microseconds;
    double min_speed;
    double max_speed;
};

// Guards against taking interruptions for a slow processor, and against a slow
// processor that is not noticed within five samples.
Test(leader_suitability, measures_the_processor_speed)
{
    const std::array cases = {
        speed_case{"steady", {20, 20, 20, 20, 20, 20, 20, 20}, 1, 1},
        speed_case{"interrupted", {20, 900, 20, 800, 20, 700, 900, 20}, 1, 1},
        speed_case{"slow", {20, 20, 20, 100, 100, 100, 100, 100}, 0.2, 0.2},
        speed_case{"no clock", {0, 0, 0, 0, 0, 0, 0, 0}, 1, 1},
    };
    for (const auto& it : cases)
    {
        speed_meter meter;
        for (const int us : it.microseconds)
            meter.record(std::chrono::microseconds(us));
        cr_assert_geq(meter.speed(), it.min_speed, "%s", it.name);
        cr_assert_leq(meter.speed(), it.max_speed, "%s", it.name);
    }
}
