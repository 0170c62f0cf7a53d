#include <algorithm>
#include <map>

#include "testing/checker/promises.hpp"

namespace mustardwick::testing
{

namespace
{

/// Returns whether `at` lies in a window of that name, more than the margin
/// after the window's start.
bool is_inside(const std::vector<time_window>& windows, const std::string& name,
               event_time at, event_time margin)
{
    return std::any_of(windows.begin(), windows.end(),
                       [&](const time_window& it)
                       {
                           return it.name == name && at > it.from + margin &&
                                  (!it.to || at < *it.to);
                       });
}

} // namespace

violations check_failure_domains(const evidence& seen, const margins& allowed)
{
    violations out;
    for (const auto& it : seen.tasks)
    {
        const auto host = seen.hosts.find(it.worker);
        if (host == seen.hosts.end())
            continue;
        const auto& domain = host->second.failure_domain;
        if (is_inside(seen.domains_out, domain, it.start, allowed.domain_out))
            out.push_back({"P5",
                           it.attempt + " started in " + domain +
                               ", which is out of service",
                           it.start});
    }
    return out;
}

violations check_leaving_hosts(const evidence& seen, const margins& allowed)
{
    violations out;
    const auto check = [&](const auto& run)
    {
        if (is_inside(seen.hosts_leaving, run.worker, run.start,
                      allowed.host_leaving))
            out.push_back({"P9",
                           run.attempt + " started on leaving " + run.worker,
                           run.start});
    };
    std::for_each(seen.tasks.begin(), seen.tasks.end(), check);
    std::for_each(seen.requests.begin(), seen.requests.end(), check);
    return out;
}

violations check_keys(const evidence& seen, const margins& allowed)
{
    std::map<std::string, const call_record*> calls;
    for (const auto& it : seen.calls)
        calls[it.echo] = &it;
    violations out;
    for (const auto& it : seen.requests)
    {
        const auto call = calls.find(it.echo);
        if (call == calls.end())
            continue;
        const auto& sent = *call->second;
        if (is_inside(seen.keys_withdrawn, sent.key, sent.sent,
                      allowed.key_withdrawn))
            out.push_back(
                {"P3",
                 "request " + sent.id + " ran with withdrawn key " + sent.key,
                 it.start});
    }
    return out;
}

} // namespace mustardwick::testing
