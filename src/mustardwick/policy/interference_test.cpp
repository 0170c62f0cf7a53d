#include "mustardwick/policy/interference.hpp"

#include <array>
#include <random>
#include <vector>

#include <criterion/criterion.h>

using namespace mustardwick::policy;

namespace
{

/// Records runs of two kinds, each of which is beside the other in every second
/// run; the given effects are added there.
struct replay
{
    explicit replay(unsigned seed) : random(seed)
    {
        a = pairs.id_of("a");
        b = pairs.id_of("b");
    }

    void run(int n, double effect_on_a, double effect_on_b)
    {
        std::normal_distribution<double> noise(0, 0.25);
        for (int it = 0; it < n; ++it)
        {
            const bool beside = it % 2 == 0;
            const std::array of_a = {b};
            const std::array of_b = {a};
            const auto none = std::span<const interference::kind_id>();
            pairs.record(a, beside ? std::span(of_a).first(1) : none,
                         noise(random) + (beside ? effect_on_a : 0));
            pairs.record(b, beside ? std::span(of_b).first(1) : none,
                         noise(random) + (beside ? effect_on_b : 0));
        }
    }

    std::mt19937 random;
    interference pairs;
    interference::kind_id a = 0;
    interference::kind_id b = 0;
};

} // namespace

struct direction_case
{
    const char* name;
    double effect_on_a;
    double effect_on_b;
    bool b_disturbs_a;
    bool a_disturbs_b;
};

// Guards against keeping apart what does not interfere, and against missing a
// pair that interferes in one direction only.
Test(interference, finds_the_direction_of_a_disturbance)
{
    const std::array cases = {
        direction_case{"none", 0, 0, false, false},
        direction_case{"one direction", 0.6, 0, true, false},
        direction_case{"both directions", 0.6, 0.6, true, true},
        direction_case{"too small to matter", 0.1, 0, false, false},
    };
    for (const auto& it : cases)
        for (unsigned seed = 1; seed <= 10; ++seed)
        {
            replay runs(seed);
            runs.run(160, it.effect_on_a, it.effect_on_b);
            cr_assert_eq(runs.pairs.disturbs(runs.b, runs.a), it.b_disturbs_a,
                         "%s %u", it.name, seed);
            cr_assert_eq(runs.pairs.disturbs(runs.a, runs.b), it.a_disturbs_b,
                         "%s %u", it.name, seed);
        }
}

// Guards against a belief that outlives its cause: disturbances move within
// seconds, and a cell ends some hundred runs a second.
Test(interference, follows_a_disturbance_that_moves)
{
    for (unsigned seed = 1; seed <= 10; ++seed)
    {
        replay runs(seed);
        runs.run(160, 0.6, 0);
        cr_assert(runs.pairs.disturbs(runs.b, runs.a), "%u", seed);
        runs.run(240, 0, 0.6);
        cr_assert_not(runs.pairs.disturbs(runs.b, runs.a), "%u", seed);
        cr_assert(runs.pairs.disturbs(runs.a, runs.b), "%u", seed);
    }
}

// Guards against false beliefs by chance: 20 kinds beside each other at random,
// none of which interferes.
Test(interference, bounds_false_beliefs)
{
    std::size_t believed = 0;
    for (unsigned seed = 1; seed <= 10; ++seed)
    {
        std::mt19937 random(seed);
        std::normal_distribution<double> noise(0, 0.4);
        std::uniform_int_distribution<int> kind(0, 19);
        interference pairs;
        for (int it = 0; it < 20; ++it)
            pairs.id_of(std::to_string(it));
        for (int run = 0; run < 8000; ++run)
        {
            std::vector<interference::kind_id> beside;
            for (int n = 0; n < 4; ++n)
                beside.push_back(interference::kind_id(kind(random)));
            pairs.record(interference::kind_id(kind(random)), beside,
                         noise(random));
        }
        believed += pairs.believed();
    }
    // Ten cells of 400 pairs, looked at throughout their life.
    cr_assert_leq(believed, 4, "%zu", believed);
}

// Guards against state that grows with the number of kinds.
Test(interference, bounds_its_state)
{
    interference pairs;
    std::size_t unknown = 0;
    for (int it = 0; it < 1000; ++it)
        unknown += pairs.id_of("kind" + std::to_string(it)) ==
                           interference::unknown_kind
                       ? 1
                       : 0;
    cr_assert_geq(unknown, 900);
    const std::array beside = {interference::unknown_kind};
    pairs.record(interference::unknown_kind, beside, 1.0);
    cr_assert_eq(pairs.believed(), 0);
}
