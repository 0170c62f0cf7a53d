#include "mustardwick/durable/store_clock.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick;
using std::chrono::milliseconds;

struct reading_case
{
    const char* name;
    milliseconds round_trip;
    /// When the store read its clock, after the call was sent.
    milliseconds at_store;
    /// By how much the store's clock runs faster than the host's.
    double drift;
};

// Guards against a successor that takes a lease for ended before it is: each
// conversion may be late, never early.
Test(store_clock, converts_times_without_being_early)
{
    const std::array cases = {
        reading_case{"exact", milliseconds(0), milliseconds(0), 0},
        reading_case{"read early", milliseconds(100), milliseconds(0), 0},
        reading_case{"read late", milliseconds(100), milliseconds(100), 0},
        reading_case{"store is fast", milliseconds(50), milliseconds(25), 0.02},
        reading_case{"store is slow", milliseconds(50), milliseconds(25),
                     -0.02},
    };
    constexpr milliseconds inaccuracy{700};
    for (const auto& it : cases)
    {
        // The store's clock at a time of the host, exactly.
        const base::steady_time begin{milliseconds(5000)};
        const auto exact = [&](base::steady_time time)
        {
            const std::chrono::duration<double, std::milli> passed =
                time - begin;
            return 70'000 + passed.count() * (1 + it.drift);
        };
        durable::store_clock clock;
        cr_assert_not(clock.to_store(begin).has_value());
        cr_assert_not(clock.from_store(70'000).has_value());
        const auto received = begin + it.round_trip;
        clock.read(begin, received, std::int64_t(exact(begin + it.at_store)));
        for (int seconds = 1; seconds <= 9; ++seconds)
        {
            const auto time = received + std::chrono::seconds(seconds);
            const auto stored = double(*clock.to_store(time));
            cr_assert_geq(stored, exact(time), "%s", it.name);
            cr_assert_lt(stored, exact(time) + inaccuracy.count(), "%s",
                         it.name);
            const auto read = *clock.from_store(std::int64_t(exact(time)) + 1);
            cr_assert_geq(read, time, "%s", it.name);
            cr_assert_lt(read, time + inaccuracy, "%s", it.name);
        }
    }
}

// Guards against a reading of a call that waited at the store in place of an
// exact one.
Test(store_clock, prefers_exact_readings)
{
    durable::store_clock clock;
    const base::steady_time begin{milliseconds(5000)};
    const auto later = begin + milliseconds(1000);
    clock.read(begin, begin, 70'000);
    clock.read(begin, later, 70'900);
    cr_assert_eq(*clock.last_reading(), begin);
    clock.read(later, later, 71'000);
    cr_assert_eq(*clock.last_reading(), later);
}
