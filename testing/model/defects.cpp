#include "testing/model/defects.hpp"

#include <string_view>

namespace mustardwick::testing
{

namespace
{

bool writes_below(const ports::transaction& change, std::string_view prefix)
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
        writes_below(change, "planner/last/"))
        change.checks.clear();
    return change;
}

bool skips_commit(const ports::transaction& change, defect kind)
{
    return (kind == defect::no_claims && writes_below(change, "claim/")) ||
           (kind == defect::parts_without_commit &&
            writes_below(change, "escrow/"));
}

wire::task_events changed_reports(wire::task_events events, defect kind)
{
    if (kind != defect::silent_host_is_empty)
        return events;
    for (auto& it : events.hosts)
        it.emptied = it.emptied || !it.accepts_work;
    return events;
}

} // namespace mustardwick::testing
