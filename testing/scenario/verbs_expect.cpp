#include <fstream>
#include <functional>
#include <iostream>
#include <thread>
#include <utility>

#include "mustardwick/base/json.hpp"
#include "testing/checker/evidence_reader.hpp"
#include "testing/checker/promises.hpp"
#include "testing/scenario/session.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr milliseconds poll_interval{50};
constexpr milliseconds stop_timeout{30'000};
constexpr int max_printed = 20;

/// Polls a test until it holds or the time in the option "within" expires.
///
/// The test returns an empty text when it holds, or else what it observed.
bool wait_until(const statement& line, const std::function<std::string()>& test)
{
    const auto deadline = std::chrono::steady_clock::now() +
                          line.duration("within", milliseconds{0});
    while (true)
    {
        const auto seen = test();
        if (seen.empty())
            return true;
        if (std::chrono::steady_clock::now() >= deadline)
            return fail_statement("expectation not met: " + seen);
        std::this_thread::sleep_for(poll_interval);
    }
}

/// Checks a value against the options name>=N, name<=N and name=N; returns an
/// empty text when all hold.
std::string compare(const statement& line, const std::string& name,
                    std::int64_t value)
{
    const auto min_value = parse_number(line.option(name + '>'));
    const auto max_value = parse_number(line.option(name + '<'));
    const auto exact = parse_number(line.option(name));
    const bool holds = (!min_value || value >= *min_value) &&
                       (!max_value || value <= *max_value) &&
                       (!exact || value == *exact);
    return holds ? "" : name + " is " + std::to_string(value);
}

bool expect_job(session& run, const statement& line)
{
    const auto name = line.word(1);
    const auto wanted = line.option("state", "done");
    return wait_until(line,
                      [&]() -> std::string
                      {
                          for (std::int64_t n = 0; n < run.copies[name]; ++n)
                          {
                              const auto id = name + '-' + std::to_string(n);
                              const auto state = run.callers.job_state(id);
                              if (state != wanted)
                                  return id + " is '" + state + "'";
                          }
                          return run.copies[name] > 0
                                     ? ""
                                     : "no job was submitted as " + name;
                      });
}

/// Expects the number of running tasks over all copies of a job.
bool expect_running(session& run, const statement& line)
{
    const auto name = line.word(1);
    return wait_until(
        line,
        [&]
        {
            std::int64_t sum = 0;
            for (std::int64_t n = 0; n < run.copies[name]; ++n)
                sum +=
                    run.callers
                        .job_number(name + '-' + std::to_string(n), "running")
                        .value_or(0);
            return compare(line, "count", sum);
        });
}

bool expect_request(session& run, const statement& line)
{
    const auto& results = run.callers.named_results();
    const auto it = results.find(line.word(1));
    if (it == results.end())
        return fail_statement("no request is named " + line.word(1));
    const std::string outcome = name_of(it->second.outcome);
    const auto status = compare(line, "status", it->second.status);
    const auto wanted = line.option("outcome", outcome);
    return (outcome == wanted && status.empty()) ||
           fail_statement("outcome is " + outcome + ", status " +
                          std::to_string(it->second.status));
}

bool expect_load(session& run, const statement& line)
{
    const auto it = run.summaries.find(line.word(1));
    if (it == run.summaries.end())
        return fail_statement("finish load " + line.word(1) + " first");
    for (const auto& [option, text] : line.options)
    {
        auto name = option;
        if (name.ends_with('>') || name.ends_with('<'))
            name.pop_back();
        const auto seen = compare(line, name, it->second.value(name));
        if (!seen.empty())
            return fail_statement(seen + ", expected " + option + '=' + text);
    }
    return true;
}

bool field_starts_with(const web::json::value& event, const char* field,
                       const std::string& prefix)
{
    return prefix.empty() || (event.has_string_field(field) &&
                              event.at(field).as_string().starts_with(prefix));
}

/// Counts lines of the workers' records with the event, for workers and jobs
/// whose names start with the options "worker" and "job".
std::int64_t count_events(session& run, const statement& line)
{
    std::int64_t out = 0;
    for (const auto& group : run.cluster.groups())
    {
        std::ifstream in(run.directory + '/' + group.name + ".jsonl");
        std::string text;
        while (std::getline(in, text))
        {
            const auto value = base::parse_json(text);
            const bool counts =
                value && value->at("event").as_string() == line.word(1) &&
                field_starts_with(*value, "worker", line.option("worker")) &&
                field_starts_with(*value, "job", line.option("job"));
            out += counts ? 1 : 0;
        }
    }
    return out;
}

bool expect_events(session& run, const statement& line)
{
    return wait_until(line,
                      [&]
                      {
                          return compare(line, "count",
                                         count_events(run, line));
                      });
}

bool expect_ready(session& run, const statement& line)
{
    return wait_until(line,
                      [&]() -> std::string
                      {
                          for (std::size_t n = 1; n < line.words.size(); ++n)
                          {
                              const auto* daemon =
                                  run.cluster.find_daemon(line.words[n]);
                              if (daemon == nullptr)
                                  return "no daemon is named " + line.words[n];
                              api_call call;
                              call.port = daemon->http_port;
                              call.path = "/readyz";
                              call.timeout = milliseconds{1000};
                              if (!run.client.send(call).ok())
                                  return line.words[n] + " is not ready";
                          }
                          return "";
                      });
}

/// Expects that all daemons that receive calls have the same configuration
/// version, at least that of the last accepted change. It may be higher because
/// the reply to a later change may have been lost.
bool expect_configuration(session& run, const statement& line)
{
    return wait_until(
        line,
        [&]() -> std::string
        {
            auto wanted = run.operators.last_version();
            bool is_first = true;
            for (const auto& it : run.cluster.daemons())
            {
                if (!it.receives_calls)
                    continue;
                const auto seen =
                    run.operators.statistics(it).number("config_version");
                if (std::exchange(is_first, false))
                    wanted = std::max(wanted, seen);
                if (seen != wanted)
                    return it.name + " has version " + std::to_string(seen) +
                           " instead of " + std::to_string(wanted);
            }
            return "";
        });
}

/// Expects the number of hosts whose leases the daemons hold.
bool expect_held(session& run, const statement& line)
{
    return wait_until(
        line,
        [&]
        {
            std::int64_t sum = 0;
            for (const auto& it : run.cluster.daemons())
            {
                if (!it.receives_calls)
                    continue;
                const auto body = run.operators.statistics(it).body;
                if (body.is_object() && body.has_array_field("hosts_held"))
                    sum +=
                        static_cast<std::int64_t>(body.at("hosts_held").size());
            }
            return compare(line, "count", sum);
        });
}

bool expect(session& run, const statement& line)
{
    static const verb_table kinds{
        {"job", expect_job},         {"running", expect_running},
        {"request", expect_request}, {"load", expect_load},
        {"events", expect_events},   {"ready", expect_ready},
        {"held", expect_held},       {"configuration", expect_configuration},
    };
    const auto it = kinds.find(line.word(0));
    return it == kinds.end()
               ? fail_statement("unknown expectation " + line.word(0))
               : it->second(run, line);
}

/// Stops the running daemons so that the records are complete; fails when a
/// daemon has exited unexpectedly.
bool stop_daemons(session& run)
{
    for (auto& it : run.cluster.daemons())
    {
        const bool expected = it.receives_calls;
        const bool runs = it.program.is_running();
        if (expected && !runs)
            return fail_statement(it.name +
                                  " exited unexpectedly; see its log");
        if (runs && !run.cluster.stop(it.name, stop_timeout))
            return false;
    }
    return true;
}

void print(const violations& found)
{
    int n = 0;
    for (const auto& it : found)
    {
        if (n++ < max_printed)
            std::cout << it.promise << " at " << it.at << ": " << it.detail
                      << '\n';
    }
}

/// check [min-tasks=N] [min-requests=N] [min-calls=N]
bool check(session& run, const statement& line)
{
    if (!stop_daemons(run))
        return false;
    evidence_reader reader;
    for (const auto& it : run.cluster.evidence_files())
    {
        std::ifstream in(it);
        reader.read(in, it);
    }
    const auto seen = reader.result();
    const auto found = check_all(seen, {});
    print(found);
    std::cout << "check tasks=" << seen.tasks.size()
              << " requests=" << seen.requests.size()
              << " calls=" << seen.calls.size()
              << " violations=" << found.size() << '\n';
    const bool has_min_records =
        std::cmp_greater_equal(seen.tasks.size(),
                               line.number("min-tasks", 0)) &&
        std::cmp_greater_equal(seen.requests.size(),
                               line.number("min-requests", 0)) &&
        std::cmp_greater_equal(seen.calls.size(), line.number("min-calls", 0));
    if (!found.empty())
        return fail_statement("promises were broken");
    return has_min_records ||
           fail_statement(
               "fewer records than min-tasks, min-requests or min-calls");
}

} // namespace

const verb_table& expectation_verbs()
{
    static const verb_table out{{"expect", expect}, {"check", check}};
    return out;
}

} // namespace mustardwick::testing
