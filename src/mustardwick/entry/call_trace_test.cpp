#include "mustardwick/entry/call_trace.hpp"

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

// Guards against a log that tells that a call got no answer, but neither what
// held it back nor since when.
Test(call_trace, tells_what_became_of_each_attempt_and_since_when)
{
    const base::steady_time begin(milliseconds(10'000));
    call_trace trace(begin);
    cr_assert(trace.outcomes().empty());
    trace.failed("timed out", "entry-1", 3, begin + milliseconds(1500));
    trace.failed("connection lost", "entry-1", 3, begin + milliseconds(1600));
    trace.failed("timed out", "entry-2", 4, begin + milliseconds(2800));
    cr_assert_eq(trace.attempts(), 3);
    cr_assert_eq(trace.leader(), "entry-2");
    cr_assert_eq(trace.epoch(), 4);
    cr_assert_eq(trace.outcomes(),
                 "timed out x2 from 1500, connection lost x1 from 1600");
    cr_assert_eq(trace.age(begin + milliseconds(2850)).count(), 2850);
}
