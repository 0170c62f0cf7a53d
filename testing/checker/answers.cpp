#include <algorithm>
#include <map>
#include <set>

#include "testing/checker/promises.hpp"

namespace mustardwick::testing
{

namespace
{

std::string id_of(const call_record& call)
{
    return call.team + '/' + call.id;
}

bool is_in_flight(const call_record& call, const time_window& stop)
{
    return call.daemon == stop.name && call.sent < stop.from &&
           call.answered >= stop.from;
}

} // namespace

violations check_answers(const evidence& seen)
{
    std::map<std::string, std::set<std::string>> echoes;
    for (const auto& it : seen.calls)
        echoes[id_of(it)].insert(it.echo);
    std::set<std::string> ended;
    for (const auto& it : seen.requests)
    {
        if (it.end)
            ended.insert(it.echo);
    }
    violations out;
    for (const auto& it : seen.calls)
    {
        if (it.outcome != "done")
            continue;
        if (!echoes[id_of(it)].contains(it.answer))
            out.push_back(
                {"P6",
                 "call " + it.echo + " received the answer '" + it.answer + "'",
                 it.answered});
        else if (!ended.contains(it.answer))
            out.push_back(
                {"P6",
                 "call " + it.echo + " received an answer that no target gave",
                 it.answered});
    }
    return out;
}

violations check_refusals(const evidence& seen)
{
    std::map<std::string, const request_run*> runs;
    for (const auto& it : seen.requests)
        runs[it.echo] = &it;
    violations out;
    for (const auto& it : seen.calls)
    {
        const auto run = runs.find(it.echo);
        if (it.outcome == "refused" && run != runs.end())
            out.push_back({"P7",
                           "call " + it.echo +
                               " was refused as not run, but ran on " +
                               run->second->worker,
                           it.answered});
    }
    return out;
}

violations check_planned_stops(const evidence& seen)
{
    violations out;
    for (const auto& call : seen.calls)
    {
        if (call.outcome != "no_answer")
            continue;
        const bool interrupted =
            std::any_of(seen.planned_stops.begin(), seen.planned_stops.end(),
                        [&call](const time_window& it)
                        {
                            return is_in_flight(call, it);
                        });
        if (interrupted)
            out.push_back({"P10",
                           "call " + call.echo + " to " + call.daemon +
                               " was interrupted by its planned stop",
                           call.answered});
    }
    return out;
}

violations check_all(const evidence& seen, const margins& allowed)
{
    violations out;
    for (const auto& it : seen.errors)
        out.push_back({"evidence", it, 0});
    const auto append = [&out](violations more)
    {
        out.insert(out.end(), more.begin(), more.end());
    };
    append(check_capacity(seen));
    append(check_single_attempt(seen));
    append(check_keys(seen, allowed));
    append(check_team_limits(seen, allowed));
    append(check_failure_domains(seen, allowed));
    append(check_answers(seen));
    append(check_refusals(seen));
    append(check_at_most_once(seen));
    append(check_leaving_hosts(seen, allowed));
    append(check_planned_stops(seen));
    return out;
}

} // namespace mustardwick::testing
