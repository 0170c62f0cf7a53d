#include "mustardwick/jobs/fencing.hpp"

#include <criterion/criterion.h>

using namespace mustardwick::jobs;

namespace
{

struct succession_case
{
    const char* name;
    std::int64_t epoch;
    std::int64_t successor;
};

} // namespace

// Guards against a successor whose orders the workers refuse, and against calls
// of its predecessor that still take effect. A daemon of an earlier release
// counts epochs by one, and its epoch is its only token.
Test(fencing_tokens, of_a_successor_are_above_all_of_its_predecessor)
{
    const succession_case cases[] = {
        {"first leaders", next_epoch(0), next_epoch(next_epoch(0))},
        {"after an earlier release", 7, next_epoch(7)},
    };
    for (const auto& it : cases)
    {
        fencing_tokens former(it.epoch);
        cr_assert_lt(former.current(), it.epoch, "%s", it.name);
        fencing_tokens present(it.successor);
        while (!former.is_exhausted())
            former.raise();
        cr_assert_lt(former.current(), it.epoch + 1, "%s", it.name);
        cr_assert_leq(former.current(), present.current(), "%s", it.name);
        cr_assert_gt(present.raise(), former.current(), "%s", it.name);
        cr_assert_leq(present.current(), it.successor, "%s", it.name);
    }
}
