#include "mustardwick/coordination/report_filter.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick;
using coordination::drop_foreign_reports;

namespace
{

struct filter_case
{
    std::string holder;
    std::size_t hosts;
    std::size_t attempts;
};

wire::task_events make_events(const std::string& holder)
{
    wire::task_events out;
    wire::host_report host;
    host.host = "w1";
    host.emptied = true;
    host.holder = holder;
    out.hosts.push_back(host);
    out.attempts.push_back({"a1", "w1", wire::attempt_event::running, {}});
    out.attempts.push_back({"a2", "w1", wire::attempt_event::finished, {}});
    return out;
}

} // namespace

// Guards against a fenced daemon that reports a worker as empty while its tasks
// still run under the new holder: the planner then started a task a second time
// (model seed 45).
Test(report_filter, keeps_only_reports_of_the_holder)
{
    const coordination::host_holders holders = {{"w1", "entry-2#3"}};
    const std::array cases = {
        filter_case{"entry-2#3", 1, 2},
        filter_case{"entry-2#2", 0, 1},
        filter_case{"entry-1#3", 0, 1},
        filter_case{"", 0, 1},
    };
    for (const auto& it : cases)
    {
        const auto kept = drop_foreign_reports(make_events(it.holder), holders);
        cr_assert_eq(kept.hosts.size(), it.hosts, "%s", it.holder.c_str());
        cr_assert_eq(kept.attempts.size(), it.attempts, "%s",
                     it.holder.c_str());
    }
}

// Guards against accepting a report of a host without a holder row.
Test(report_filter, drops_reports_of_hosts_without_a_holder)
{
    const auto kept = drop_foreign_reports(make_events("entry-2#3"), {});
    cr_assert_eq(kept.hosts.size(), 0);
}
