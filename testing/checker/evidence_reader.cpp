#include "testing/checker/evidence_reader.hpp"

#include <algorithm>
#include <limits>

namespace mustardwick::testing
{

namespace
{

using web::json::value;

std::string text_of(const value& line, const char* name)
{
    return line.has_string_field(name) ? line.at(name).as_string() : "";
}

std::int64_t number_of(const value& line, const char* name)
{
    return line.has_number_field(name) ? line.at(name).as_number().to_int64()
                                       : 0;
}

bool flag_of(const value& line, const char* name)
{
    return line.has_boolean_field(name) && line.at(name).as_bool();
}

amounts amounts_of(const value& line)
{
    return {number_of(line, "millicpus"), number_of(line, "memory_mb"),
            number_of(line, "accelerators")};
}

/// Reads a limit; a negative number means unlimited.
std::int64_t limit_of(const value& line, const char* name)
{
    const auto n = number_of(line, name);
    return n < 0 ? std::numeric_limits<std::int64_t>::max() : n;
}

/// Identifies an attempt on one worker: several workers may record the same
/// attempt id.
std::string key_of(const value& line)
{
    return text_of(line, "worker") + ' ' + text_of(line, "attempt");
}

void open_window(std::vector<time_window>& list, const value& line)
{
    list.push_back({text_of(line, "name"), number_of(line, "t"), {}});
}

void close_window(std::vector<time_window>& list, const value& line)
{
    const auto name = text_of(line, "name");
    for (auto& it : list)
    {
        if (it.name == name && !it.to)
            it.to = number_of(line, "t");
    }
}

} // namespace

void evidence_reader::read(std::istream& lines, const std::string& name)
{
    std::string text;
    for (int n = 1; std::getline(lines, text); ++n)
    {
        if (text.empty())
            continue;
        std::error_code ec;
        const auto line = value::parse(text, ec);
        if (ec || !line.is_object())
            evidence_.errors.push_back(name + ':' + std::to_string(n) +
                                       ": not a JSON object");
        else
            read_line(line);
    }
}

void evidence_reader::read_line(const value& line)
{
    if (line.has_field("event"))
        read_event(line);
    else if (line.has_field("call"))
        read_call(line);
    else if (line.has_field("fact"))
        read_fact(line);
    else
        evidence_.errors.push_back("unknown line: " + line.serialize());
}

void evidence_reader::read_event(const value& line)
{
    const auto event = text_of(line, "event");
    if (event == "task_started")
        start_task(line);
    else if (event == "task_ended")
        end_task(line);
    else if (event == "request_started")
        start_request(line);
    else if (event == "request_ended")
        end_request(line);
    else if (event == "worker_started")
        start_worker(text_of(line, "worker"), number_of(line, "t"));
}

void evidence_reader::start_task(const value& line)
{
    open_tasks_[key_of(line)] = evidence_.tasks.size();
    evidence_.tasks.push_back({text_of(line, "attempt"), text_of(line, "job"),
                               number_of(line, "index"),
                               text_of(line, "worker"), amounts_of(line),
                               number_of(line, "t"), std::nullopt});
}

void evidence_reader::end_task(const value& line)
{
    const auto it = open_tasks_.find(key_of(line));
    if (it == open_tasks_.end())
    {
        evidence_.errors.push_back("end without start: " + line.serialize());
        return;
    }
    evidence_.tasks[it->second].end = number_of(line, "t");
    open_tasks_.erase(it);
}

void evidence_reader::start_request(const value& line)
{
    open_requests_[key_of(line)] = evidence_.requests.size();
    evidence_.requests.push_back(
        {text_of(line, "attempt"), text_of(line, "worker"),
         text_of(line, "echo"), number_of(line, "t"), std::nullopt});
}

void evidence_reader::end_request(const value& line)
{
    const auto it = open_requests_.find(key_of(line));
    if (it == open_requests_.end())
    {
        evidence_.errors.push_back("end without start: " + line.serialize());
        return;
    }
    evidence_.requests[it->second].end = number_of(line, "t");
    open_requests_.erase(it);
}

void evidence_reader::start_worker(const std::string& worker, event_time at)
{
    end_all(worker, at);
    evidence_.worker_starts[worker].push_back(at);
}

/// Ends all work of a worker's previous process.
void evidence_reader::end_all(const std::string& worker, event_time at)
{
    for (auto& it : evidence_.tasks)
    {
        if (it.worker == worker && !it.end && it.start <= at)
            it.end = at;
    }
    for (auto& it : evidence_.requests)
    {
        if (it.worker == worker && !it.end && it.start <= at)
            it.end = at;
    }
    const auto belongs = [&worker](const auto& entry)
    {
        return entry.first.starts_with(worker + ' ');
    };
    std::erase_if(open_tasks_, belongs);
    std::erase_if(open_requests_, belongs);
}

evidence evidence_reader::result() const
{
    auto out = evidence_;
    const auto end_when_killed = [this](auto& run)
    {
        for (const auto& it : killed_)
        {
            const bool runs = run.worker == it.name && run.start <= it.from &&
                              (!run.end || *run.end > it.from);
            if (runs)
                run.end = it.from;
        }
    };
    std::for_each(out.tasks.begin(), out.tasks.end(), end_when_killed);
    std::for_each(out.requests.begin(), out.requests.end(), end_when_killed);
    return out;
}

void evidence_reader::read_call(const value& line)
{
    call_record out;
    out.id = text_of(line, "id");
    out.echo = text_of(line, "echo");
    out.team = text_of(line, "team");
    out.key = text_of(line, "key");
    out.daemon = text_of(line, "daemon");
    out.idempotent = flag_of(line, "idempotent");
    out.outcome = text_of(line, "outcome");
    out.answer = text_of(line, "answer");
    out.sent = number_of(line, "sent");
    out.answered = number_of(line, "answered");
    evidence_.calls.push_back(std::move(out));
}

void evidence_reader::read_limit(const value& line)
{
    evidence_.limits[text_of(line, "team")].push_back(
        {number_of(line, "t"),
         {limit_of(line, "millicpus"), limit_of(line, "memory_mb"),
          limit_of(line, "accelerators")},
         limit_of(line, "requests")});
}

void evidence_reader::read_fact(const value& line)
{
    const auto fact = text_of(line, "fact");
    const auto name = text_of(line, "name");
    if (fact == "host")
        evidence_.hosts[name] = {text_of(line, "failure_domain"),
                                 amounts_of(line), number_of(line, "slots")};
    else if (fact == "job")
        evidence_.team_of_job[name] = text_of(line, "team");
    else if (fact == "team_limit")
        read_limit(line);
    else if (fact == "worker_killed")
        open_window(killed_, line);
    else if (fact == "domain_out")
        open_window(evidence_.domains_out, line);
    else if (fact == "domain_in")
        close_window(evidence_.domains_out, line);
    else if (fact == "host_leaving")
        open_window(evidence_.hosts_leaving, line);
    else if (fact == "host_back")
        close_window(evidence_.hosts_leaving, line);
    else if (fact == "key_withdrawn")
        open_window(evidence_.keys_withdrawn, line);
    else if (fact == "stop_began")
        open_window(evidence_.planned_stops, line);
    else if (fact == "stop_ended")
        close_window(evidence_.planned_stops, line);
    else
        evidence_.errors.push_back("unknown fact: " + line.serialize());
}

} // namespace mustardwick::testing
