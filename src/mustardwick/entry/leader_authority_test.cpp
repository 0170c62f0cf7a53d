#include "mustardwick/entry/leader_authority.hpp"

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

namespace
{

struct manual_suspend_clock final : base::suspend_clock
{
    std::chrono::nanoseconds suspended() const override
    {
        return total;
    }

    std::chrono::nanoseconds total{0};
};

struct authority_case
{
    const char* name;
    /// Time that passes on the steady clock after the confirmation.
    milliseconds running;
    milliseconds suspended;
    bool valid;
};

} // namespace

// Guards against a leader that sends orders after a suspension, on a
// confirmation from before it: another daemon may have taken over meanwhile.
Test(leader_authority, ends_with_a_suspension)
{
    const authority_case cases[] = {
        {"recent", milliseconds(100), milliseconds(0), true},
        {"expired", milliseconds(2500), milliseconds(0), false},
        {"suspended for 1 s", milliseconds(100), milliseconds(1000), false},
        {"suspended for 10 s", milliseconds(1), milliseconds(10'000), false},
        {"clocks read apart", milliseconds(100), milliseconds(10), true},
    };
    for (const auto& it : cases)
    {
        base::manual_clock clock;
        manual_suspend_clock suspensions;
        leader_authority authority(clock, suspensions, milliseconds(2500));
        const auto confirmed = clock.now();
        cr_assert(authority.is_valid(confirmed), "%s", it.name);
        clock.advance(it.running);
        suspensions.total += it.suspended;
        cr_assert_eq(authority.is_valid(confirmed), it.valid, "%s", it.name);
        // A confirmation that is requested now counts again.
        clock.advance(milliseconds(10));
        cr_assert(authority.is_valid(clock.now()), "%s", it.name);
    }
}
