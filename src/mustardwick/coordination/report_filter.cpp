#include "mustardwick/coordination/report_filter.hpp"

#include <set>

namespace mustardwick::coordination
{

std::string holder_name(const std::string& daemon, std::uint64_t incarnation)
{
    return daemon + '#' + std::to_string(incarnation);
}

wire::task_events drop_foreign_reports(wire::task_events events,
                                       const host_holders& holders)
{
    std::set<std::string> foreign;
    for (const auto& it : events.hosts)
    {
        const auto holder = holders.find(it.host);
        if (holder == holders.end() || holder->second != it.holder)
            foreign.insert(it.host);
    }
    std::erase_if(events.hosts,
                  [&foreign](const wire::host_report& it)
                  {
                      return foreign.count(it.host) > 0;
                  });
    std::erase_if(events.attempts,
                  [&foreign](const wire::attempt_report& it)
                  {
                      return it.event == wire::attempt_event::running &&
                             foreign.count(it.host) > 0;
                  });
    return events;
}

} // namespace mustardwick::coordination
