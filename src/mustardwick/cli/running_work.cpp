#include "mustardwick/cli/running_work.hpp"

#include <set>
#include <string>

#include "mustardwick/base/error.hpp"
#include "mustardwick/cli/report.hpp"

namespace mustardwick::cli
{

namespace
{

using web::json::value;

/// Gets a path that must exist; fails with kind not_found when it does not, and
/// with kind unavailable when the failure is temporary.
std::optional<value> get_json(daemon_client& daemons, const std::string& path)
{
    const auto answer = daemons.call({.target = path});
    if (!answer)
        return std::nullopt;
    if (answer->is_success())
        return answer->json();
    auto kind = base::error_kind::internal;
    if (answer->status == 429 || answer->status >= 500)
        kind = base::error_kind::unavailable;
    if (answer->status == 404)
        kind = base::error_kind::not_found;
    return base::fail(
        kind, "status " + std::to_string(answer->status) + " for " + path,
        "check the key and the name");
}

/// Returns the elements of an array member; empty when it is absent.
std::vector<value> items_of(const value& object, std::string_view name)
{
    const auto items = member_of(object, name);
    if (!items.is_array())
        return {};
    return {items.as_array().begin(), items.as_array().end()};
}

std::optional<std::set<std::string>> hosts_of(daemon_client& daemons,
                                              const resource_id& id)
{
    if (id.kind == "hosts")
        return std::set<std::string>{id.name};
    const auto list = get_json(daemons, path_of({"v1", "resources", "hosts"}));
    if (!list)
        return std::nullopt;
    std::set<std::string> out;
    for (const auto& it : items_of(*list, "items"))
        if (text_of(member_of(it, "desired"), "failure_domain") == id.name)
            out.insert(text_of(it, "name"));
    return out;
}

bool has_ended(const value& job)
{
    const auto state = text_of(job, "state");
    return state == "done" || state == "failed" || state == "rejected";
}

/// A task without an attempt is waiting for a host or has ended.
bool is_running(const value& task)
{
    const auto state = text_of(task, "state");
    return !text_of(task, "attempt").empty() && state != "finished" &&
           state != "failed";
}

std::int64_t count_running_on(const std::set<std::string>& hosts,
                              const value& job)
{
    std::int64_t out = 0;
    for (const auto& it : items_of(job, "task_states"))
        out += is_running(it) && hosts.contains(text_of(it, "host")) ? 1 : 0;
    return out;
}

std::optional<std::int64_t> count_tasks(daemon_client& daemons,
                                        const std::set<std::string>& hosts)
{
    const auto jobs = get_json(daemons, path_of({"v1", "jobs"}));
    if (!jobs)
        return std::nullopt;
    std::int64_t out = 0;
    for (const auto& it : items_of(*jobs, "items"))
    {
        if (has_ended(it))
            continue;
        const auto job =
            get_json(daemons, path_of({"v1", "jobs", text_of(it, "id")}));
        if (job)
            out += count_running_on(hosts, *job);
        else if (base::last_error().kind != base::error_kind::not_found)
            return std::nullopt;
    }
    return out;
}

} // namespace

std::optional<std::int64_t> count_running(daemon_client& daemons,
                                          const resource_id& id)
{
    const auto resource =
        get_json(daemons, path_of({"v1", "resources", id.kind, id.name}));
    if (!resource)
        return std::nullopt;
    const auto observed =
        number_of(member_of(*resource, "observed"), "running", -1);
    if (observed >= 0)
        return observed;
    const auto hosts = hosts_of(daemons, id);
    return hosts ? count_tasks(daemons, *hosts) : std::nullopt;
}

} // namespace mustardwick::cli
