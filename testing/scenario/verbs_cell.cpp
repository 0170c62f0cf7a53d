#include <csignal>
#include <iostream>
#include <thread>

#include "mustardwick/base/error.hpp"
#include "testing/scenario/session.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr milliseconds stop_timeout{30'000};

bool platform(session& run, const statement& line)
{
    run.cluster.declare_platform(line);
    return true;
}

bool workers(session& run, const statement& line)
{
    return run.cluster.declare_workers(line);
}

bool daemons(session& run, const statement& line)
{
    for (const auto& it : line.words)
    {
        statement single = line;
        single.words = {it};
        if (!run.cluster.declare_daemon(single))
            return false;
    }
    return true;
}

bool timing(session& run, const statement& line)
{
    run.cluster.declare_timing(line);
    return true;
}

bool start(session& run, const statement&)
{
    return run.cluster.start();
}

/// Resolves "planner" to the daemon that currently holds planner leadership.
std::string resolve_name(session& run, const std::string& name)
{
    if (name != "planner")
        return name;
    const auto* daemon = run.cluster.next_daemon();
    return daemon == nullptr
               ? name
               : run.operators.statistics(*daemon).text("planner");
}

/// Calls the function with the name of each process and prints what "planner"
/// resolved to.
template <typename Function>
bool for_each_process(session& run, const statement& line, Function&& function)
{
    for (const auto& it : line.words)
    {
        const auto name = resolve_name(run, it);
        if (name != it)
            std::cout << it << " is " << name << '\n';
        if (!function(name))
            return false;
    }
    return true;
}

bool restore(session& run, const statement& line)
{
    return for_each_process(run, line,
                            [&run](const std::string& name)
                            {
                                return run.cluster.restore(name);
                            });
}

bool kill(session& run, const statement& line)
{
    return for_each_process(run, line,
                            [&run](const std::string& name)
                            {
                                return run.cluster.kill(name);
                            });
}

bool stop(session& run, const statement& line)
{
    return for_each_process(run, line,
                            [&run](const std::string& name)
                            {
                                return run.cluster.stop(name, stop_timeout);
                            });
}

bool pause(session& run, const statement& line)
{
    return for_each_process(run, line,
                            [&run](const std::string& name)
                            {
                                return run.cluster.signal(name, SIGSTOP);
                            });
}

bool resume(session& run, const statement& line)
{
    return for_each_process(run, line,
                            [&run](const std::string& name)
                            {
                                return run.cluster.signal(name, SIGCONT);
                            });
}

bool wait(session&, const statement& line)
{
    const auto time = parse_duration(line.word(0));
    if (!time)
        return fail_statement("give a duration, such as 500ms or 2s");
    std::this_thread::sleep_for(*time);
    return true;
}

} // namespace

bool fail_statement(const std::string& message)
{
    base::fail(base::error_kind::invalid_input, message, "see the scenario");
    return false;
}

const verb_table& cell_verbs()
{
    static const verb_table out{
        {"platform", platform}, {"workers", workers}, {"daemons", daemons},
        {"timing", timing},     {"start", start},     {"restore", restore},
        {"kill", kill},         {"stop", stop},       {"pause", pause},
        {"resume", resume},     {"wait", wait},
    };
    return out;
}

} // namespace mustardwick::testing
