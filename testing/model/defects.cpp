#include "testing/model/defects.hpp"

#include <string_view>

namespace mustardwick::testing
{

namespace
{

bool writes_under_prefix(const ports::transaction& change,
                         std::string_view prefix)
{
    for (const auto& it : change.puts)
    {
        if (it.key.starts_with(prefix))
            return true;
    }
    return false;
}

} // namespace

ports::transaction without_checks(ports::transaction change, defect kind)
{
    if (kind == defect::planner_without_guard &&
        writes_under_prefix(change, "planner/last/"))
        change.checks.clear();
    return change;
}

bool skips_commit(const ports::transaction& change, defect kind)
{
    return (kind == defect::no_claims &&
            writes_under_prefix(change, "claim/")) ||
           (kind == defect::parts_without_commit &&
            writes_under_prefix(change, "escrow/"));
}

wire::task_events reports_with_defect(wire::task_events events, defect kind)
{
    if (kind != defect::unresponsive_host_is_empty)
        return events;
    for (auto& it : events.hosts)
        it.emptied = it.emptied || !it.accepts_work;
    return events;
}

} // namespace mustardwick::testing
