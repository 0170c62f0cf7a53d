#include <criterion/criterion.h>

#include "mustardwick/base/log.hpp"
#include "testing/model/model_cell.hpp"

using namespace mustardwick;
using namespace mustardwick::testing;

namespace
{

/// Number for the step burst that sends seven requests, each while the previous
/// ones run.
constexpr unsigned burst_of_seven = 6;

} // namespace

// Guards against reclaiming the part of a daemon that runs and reaches the
// table but cannot be reached by one peer: both would use the part, and the
// team would exceed its limit of four requests.
Test(request_escrow, keeps_the_part_of_an_unreachable_daemon)
{
    base::set_up_log("model", base::log_level::error);
    model_cell cell({1});
    cell.apply({action::burst, 0, burst_of_seven});
    cell.apply({action::cut_peers, 2, 1});
    const auto before = cell.monitor().counts["request_started"];
    cr_assert_eq(before, 4);
    cell.run(base::milliseconds{120'000});
    cell.apply({action::burst, 0, burst_of_seven});
    cr_expect(cell.monitor().broken().empty(), "%s",
              cell.monitor().broken().empty()
                  ? ""
                  : cell.monitor().broken().front().c_str());
    cr_expect_gt(cell.monitor().counts["request_started"], before);
}
