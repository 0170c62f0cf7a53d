#include "testing/scenario/cell.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

#include <sys/wait.h>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"
#include "testing/scenario/daemon_settings.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr milliseconds start_timeout{10'000};
constexpr milliseconds poll_interval{10};

bool fail(const std::string& message, const std::string& remedy)
{
    base::fail(base::error_kind::unavailable, message, remedy);
    return false;
}

/// Waits for the port file of a stand-in and returns its ports; empty when the
/// start timeout expires.
std::vector<std::uint16_t> wait_for_ports(const std::string& file)
{
    const auto deadline = std::chrono::steady_clock::now() + start_timeout;
    while (std::chrono::steady_clock::now() < deadline)
    {
        std::ifstream in(file);
        std::stringstream text;
        text << in.rdbuf();
        const auto value = base::parse_json(text.str());
        std::vector<std::uint16_t> out;
        if (in && value)
        {
            for (const auto& it : value->at("ports").as_array())
                out.push_back(static_cast<std::uint16_t>(it.as_integer()));
            return out;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return {};
}

std::string worker_list(const worker_group& group)
{
    std::string out;
    const auto rack = group.declaration.option("rack", group.name);
    const auto domain = group.declaration.option("domain", "north");
    for (const auto& it : group.workers)
        out += (out.empty() ? "" : ",") + it + ':' + rack + ':' + domain;
    return out;
}

} // namespace

std::string cell::file(const std::string& name) const
{
    return paths_.directory + '/' + name;
}

void cell::declare_platform(const statement& line)
{
    platform_declaration_ = line;
}

void cell::declare_timing(const statement& line)
{
    for (const auto& [name, value] : line.options)
        timing_.options[name] = value;
}

bool cell::declare_workers(const statement& line)
{
    const auto port = find_free_port();
    const auto relay_port = find_free_port();
    if (!port || !relay_port)
        return fail("no free port", "free some ports between 12000 and 32000");
    auto& group = groups_.emplace_back();
    group.name = line.word(0);
    group.declaration = line;
    group.port = *port;
    group.relay_port = *relay_port;
    const auto count = line.number("count", 1);
    for (std::int64_t n = 0; n < count; ++n)
        group.workers.push_back(group.name + '-' + std::to_string(n));
    return true;
}

bool cell::declare_daemon(const statement& line)
{
    const auto http_port = find_free_port();
    const auto inner_port = find_free_port();
    const auto relay_port = find_free_port();
    if (!http_port || !inner_port || !relay_port)
        return fail("no free port", "free some ports between 12000 and 32000");
    auto& daemon = daemons_.emplace_back();
    daemon.name = line.word(0);
    daemon.declaration = line;
    daemon.http_port = *http_port;
    daemon.inner_port = *inner_port;
    daemon.peers_tcp_port = *relay_port;
    return true;
}

bool cell::start_platform()
{
    std::string ports = "0";
    for (std::size_t n = 0; n < daemons_.size(); ++n)
        ports += ",0";
    const auto lag =
        platform_declaration_.duration("host-list-lag", milliseconds{0});
    const bool started =
        platform_.start({paths_.platform, "--ports", ports, "--port-file",
                         file("platform.ports"), "--host-list-lag-ms",
                         std::to_string(lag.count())},
                        file("platform.log"));
    if (!started)
        return fail("cannot start the platform stand-in",
                    "check " + paths_.platform);
    platform_ports_ = wait_for_ports(file("platform.ports"));
    return platform_ports_.size() == daemons_.size() + 1 ||
           fail("the platform stand-in announced no ports", "see platform.log");
}

bool cell::start_group(worker_group& group)
{
    const auto ports = file(group.name + ".ports");
    std::remove(ports.c_str());
    const bool started = group.program.start(
        {paths_.workers, "--port", std::to_string(group.port), "--port-file",
         ports, "--workers", worker_list(group), "--record",
         file(group.name + ".jsonl")},
        file(group.name + ".log"));
    if (!started || wait_for_ports(ports).empty())
        return fail("workers " + group.name + " did not start",
                    "see " + group.name + ".log");
    group.relay = std::make_unique<tcp_relay>(group.port, group.relay_port);
    return true;
}

bool cell::prepare_daemon(daemon_entry& daemon, std::uint16_t store_port)
{
    daemon.store_port = store_port;
    daemon.store = std::make_unique<tcp_relay>(store_port);
    daemon.peers_udp = std::make_unique<udp_relay>(daemon.inner_port);
    std::ofstream out(file(daemon.name + ".settings.json"));
    out << daemon_settings(daemon, timing_) << '\n';
    return out.good();
}

bool cell::start_daemon(daemon_entry& daemon)
{
    const bool started = daemon.program.start(
        {paths_.daemon, "--settings", file(daemon.name + ".settings.json")},
        file(daemon.name + ".log"));
    daemon.receives_calls = started;
    daemon.peers_tcp =
        std::make_unique<tcp_relay>(daemon.inner_port, daemon.peers_tcp_port);
    return started ||
           fail("cannot start " + daemon.name, "check " + paths_.daemon);
}

bool cell::start()
{
    if (platform_ports_.empty() && !start_platform())
        return false;
    for (auto& it : groups_)
    {
        if (!it.program.is_running() && !start_group(it))
            return false;
    }
    std::size_t n = 0;
    for (auto& it : daemons_)
    {
        const auto port = platform_ports_[n++];
        if (!it.store && !prepare_daemon(it, port))
            return false;
        if (!it.program.is_running() && !start_daemon(it))
            return false;
    }
    return true;
}

bool cell::restore(const std::string& name)
{
    if (auto* daemon = find_daemon(name))
        return start_daemon(*daemon);
    if (auto* group = find_workers(name))
        return start_group(*group);
    return fail("no daemon or worker group is named " + name,
                "declare it first");
}

bool cell::kill(const std::string& name)
{
    if (auto* daemon = find_daemon(name))
    {
        daemon->receives_calls = false;
        daemon->program.kill();
        daemon->peers_tcp.reset();
        return true;
    }
    auto* group = find_workers(name);
    if (group == nullptr)
        return fail("no daemon or worker group is named " + name,
                    "declare it first");
    group->program.kill();
    group->relay.reset();
    for (const auto& it : group->workers)
        recorder_.fact("worker_killed", it);
    return true;
}

bool cell::stop(const std::string& name, milliseconds limit)
{
    auto* daemon = find_daemon(name);
    if (daemon == nullptr)
        return fail("no daemon is named " + name, "declare it first");
    recorder_.fact("stop_began", name);
    daemon->receives_calls = false;
    daemon->program.signal(SIGTERM);
    const auto status = daemon->program.wait(limit);
    recorder_.fact("stop_ended", name);
    daemon->peers_tcp.reset();
    if (!status)
        return fail(name + " did not stop before the timeout", "see its log");
    return *status == 0 ||
           fail(name + " stopped with status " + std::to_string(*status),
                "see its log");
}

bool cell::signal(const std::string& name, int number)
{
    if (auto* daemon = find_daemon(name))
        return daemon->program.signal(number);
    if (auto* group = find_workers(name))
        return group->program.signal(number);
    return fail("no daemon or worker group is named " + name,
                "declare it first");
}

std::vector<network_link*> cell::links(const std::string& name)
{
    const auto dot = name.find('.');
    const auto owner = name.substr(0, dot);
    const auto part = dot == std::string::npos ? "" : name.substr(dot + 1);
    auto* daemon = find_daemon(owner);
    if (daemon != nullptr && daemon->store && part == "store")
        return {&daemon->store->link()};
    if (daemon != nullptr && daemon->peers_tcp && part == "peers")
        return {&daemon->peers_tcp->link(), &daemon->peers_udp->link()};
    auto* group = find_workers(owner);
    if (group != nullptr && group->relay && part.empty())
        return {&group->relay->link()};
    return {};
}

daemon_entry* cell::find_daemon(const std::string& name)
{
    const auto it = std::find_if(daemons_.begin(), daemons_.end(),
                                 [&name](const daemon_entry& entry)
                                 {
                                     return entry.name == name;
                                 });
    return it == daemons_.end() ? nullptr : &*it;
}

worker_group* cell::find_workers(const std::string& name)
{
    const auto it = std::find_if(groups_.begin(), groups_.end(),
                                 [&name](const worker_group& entry)
                                 {
                                     return entry.name == name;
                                 });
    return it == groups_.end() ? nullptr : &*it;
}

worker_group* cell::find_group_of(const std::string& worker)
{
    return find_workers(worker.substr(0, worker.rfind('-')));
}

daemon_entry* cell::next_daemon()
{
    const auto first = next_daemon_index_++;
    for (std::size_t n = 0; n < daemons_.size(); ++n)
    {
        auto it = daemons_.begin();
        std::advance(it, (first + n) % daemons_.size());
        if (it->receives_calls)
            return &*it;
    }
    return nullptr;
}

std::vector<std::string> cell::evidence_files() const
{
    std::vector<std::string> out{file("calls.jsonl"), file("facts.jsonl")};
    for (const auto& it : groups_)
        out.push_back(file(it.name + ".jsonl"));
    return out;
}

} // namespace mustardwick::testing
