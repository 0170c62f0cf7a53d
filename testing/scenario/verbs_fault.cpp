#include "testing/scenario/session.hpp"

namespace mustardwick::testing
{

namespace
{

/// Cuts or heals the named links; "in" and "out" select one direction as seen
/// from the listening side.
bool set_cut(session& run, const statement& line, bool value)
{
    const auto found = run.cluster.links(line.word(0));
    if (found.empty())
        return fail_statement("no link is named " + line.word(0) +
                              "; give DAEMON.store, DAEMON.peers or WORKERS");
    const auto direction = line.word(1);
    for (auto* it : found)
    {
        if (direction != "out")
            it->set_cut(flow::forward, value);
        if (direction != "in")
            it->set_cut(flow::backward, value);
    }
    return true;
}

bool cut(session& run, const statement& line)
{
    return set_cut(run, line, true);
}

bool heal(session& run, const statement& line)
{
    return set_cut(run, line, false);
}

bool silence(session& run, const statement& line)
{
    const auto found = run.cluster.links(line.word(0));
    for (auto* it : found)
        it->blackhole_connections();
    return !found.empty() || fail_statement("no link is named " + line.word(0));
}

/// Sets faults of the store for all daemons, or for the one in "only".
bool set_store(session& run, const statement& line, json_object faults)
{
    const auto only = line.option("only");
    const auto* daemon = run.cluster.find_daemon(only);
    if (!only.empty() && daemon == nullptr)
        return fail_statement("no daemon is named " + only);
    faults.number("port", daemon == nullptr ? 0 : daemon->store_port);
    api_call call;
    call.port = run.cluster.platform_port();
    call.method = "POST";
    call.path = "/v1/faults";
    call.body = faults.value();
    return run.client.send(call).ok() ||
           fail_statement("the platform stand-in did not accept the faults");
}

bool store(session& run, const statement& line)
{
    json_object faults;
    const auto state = line.word(0);
    if (state == "down" || state == "up")
        faults.flag("down", state == "down");
    else if (state == "read-only" || state == "writable")
        faults.flag("read_only", state == "read-only");
    else if (state == "slow")
        faults.number("delay_ms",
                      line.duration("delay", milliseconds{0}).count());
    else if (state == "lose-answers")
        faults.number("lose_answers", line.number("count", 1));
    else
        return fail_statement("give down, up, read-only, writable, slow or "
                              "lose-answers");
    return set_store(run, line, faults);
}

/// Sets the faults of one worker, or of all workers of a group.
bool worker_fault(session& run, const statement& line)
{
    const auto name = line.word(0);
    auto* group = run.cluster.find_workers(name);
    const bool is_group = group != nullptr;
    if (!is_group)
        group = run.cluster.find_group_of(name);
    if (group == nullptr)
        return fail_statement("no worker or worker group is named " + name);
    api_call call;
    call.port = group->port;
    call.method = "POST";
    call.body = to_json_fields(line.options);
    for (const auto& it : group->workers)
    {
        if (!is_group && it != name)
            continue;
        call.path = "/v1/workers/" + it + "/faults";
        if (!run.client.send(call).ok())
            return fail_statement(it + " did not accept the faults");
    }
    return true;
}

/// Publishes the platform's host list with the named hosts marked as leaving.
bool host_list(session& run, const statement& line)
{
    std::vector<web::json::value> hosts;
    for (const auto& group : run.cluster.groups())
    {
        for (const auto& it : group.workers)
        {
            const bool leaving = std::find(line.words.begin(), line.words.end(),
                                           it) != line.words.end();
            hosts.push_back(json_object()
                                .text("name", it)
                                .text("state", leaving ? "leaving" : "live")
                                .value());
        }
    }
    api_call call;
    call.port = run.cluster.platform_port();
    call.method = "PUT";
    call.path = "/v1/hosts";
    call.body = json_object()
                    .set("hosts", web::json::value::array(std::move(hosts)))
                    .value();
    return run.client.send(call).ok() ||
           fail_statement("the platform stand-in did not accept the host list");
}

/// Records for the checker that the platform's host list marks the named hosts
/// as leaving.
bool leaving(session& run, const statement& line)
{
    for (const auto& it : line.words)
        run.records.fact("host_leaving", it);
    return true;
}

} // namespace

const verb_table& fault_verbs()
{
    static const verb_table out{
        {"cut", cut},
        {"heal", heal},
        {"silence", silence},
        {"store", store},
        {"worker", worker_fault},
        {"host-list", host_list},
        {"leaving", leaving},
    };
    return out;
}

} // namespace mustardwick::testing
