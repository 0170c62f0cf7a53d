#include <array>
#include <limits>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/identity.hpp"
#include "mustardwick/cli/report.hpp"
#include "mustardwick/cli/request_status.hpp"
#include "mustardwick/cli/resource_table.hpp"
#include "mustardwick/cli/table.hpp"
#include "mustardwick/cli/verb.hpp"

namespace mustardwick::cli
{

namespace
{

constexpr std::int64_t max_amount = std::numeric_limits<std::int64_t>::max();

struct amount_option
{
    const char* option;
    const char* field;
    std::int64_t min_value;
};

constexpr std::array<amount_option, 5> amounts = {{
    {"tasks", "tasks", 1},
    {"millicpus", "millicpus", 0},
    {"memory-mb", "memory_mb", 0},
    {"accelerators", "accelerators", 0},
    {"run-ms", "run_ms", 0},
}};

std::string id_of(const arguments& args)
{
    return args.given("id") ? args.text("id") : base::unique_id();
}

std::optional<web::json::value> job_of(const arguments& args)
{
    if (!args.given("queue"))
        return base::fail(base::error_kind::invalid_input,
                          "a queue is required", "give --queue NAME");
    auto out = web::json::value::object();
    out["id"] = web::json::value::string(id_of(args));
    for (const char* name : {"queue", "kind", "priority", "payload"})
        out[name] = web::json::value::string(args.text(name));
    for (const auto& it : amounts)
    {
        const auto n = args.number(it.option, it.min_value, max_amount);
        if (!n)
            return std::nullopt;
        out[it.field] = web::json::value::number(*n);
    }
    return out;
}

table_row row_of(const web::json::value& job)
{
    table_row out;
    for (const char* name : {"id", "team", "queue", "kind", "state"})
        out.push_back(text_of(job, name));
    for (const char* name : {"tasks", "pending", "running", "finished"})
        out.push_back(cell_of(member_of(job, name)));
    out.push_back(text_of(job, "reason"));
    return out;
}

table job_table()
{
    table out;
    out.headings = {"ID",    "TEAM",    "QUEUE",   "KIND",     "STATE",
                    "TASKS", "PENDING", "RUNNING", "FINISHED", "REASON"};
    return out;
}

void print_tasks(std::ostream& out, const web::json::value& states)
{
    if (!states.is_array() || states.size() == 0)
        return;
    table value;
    value.headings = {"TASK", "STATE", "HOST", "ATTEMPT"};
    for (const auto& it : states.as_array())
        value.rows.push_back({std::to_string(number_of(it, "index")),
                              text_of(it, "state"), text_of(it, "host"),
                              text_of(it, "attempt")});
    out << '\n';
    print(out, value);
}

exit_code show_job(context& call, const api_answer& answer)
{
    const auto job = answer.json();
    if (!job)
        return report_failure(call.io);
    if (call.wants_json())
    {
        call.io.out << job->serialize() << '\n';
        return exit_code::ok;
    }
    auto value = job_table();
    value.rows.push_back(row_of(*job));
    print(call.io.out, value);
    print_tasks(call.io.out, member_of(*job, "task_states"));
    return exit_code::ok;
}

exit_code show_jobs(context& call, const api_answer& answer)
{
    const auto body = answer.json();
    if (!body)
        return report_failure(call.io);
    if (call.wants_json())
    {
        call.io.out << body->serialize() << '\n';
        return exit_code::ok;
    }
    const auto jobs = member_of(*body, "items");
    auto value = job_table();
    if (jobs.is_array())
        for (const auto& it : jobs.as_array())
            value.rows.push_back(row_of(it));
    print(call.io.out, value);
    return exit_code::ok;
}

/// A submission can be resent safely, because the id identifies the job.
exit_code run_submit(context& call)
{
    const auto job = job_of(call.args);
    if (!job)
        return report_failure(call.io);
    const auto answer = call.daemons.call({.method = "POST",
                                           .target = path_of({"v1", "jobs"}),
                                           .body = job->serialize()});
    if (answer && answer->is_success())
        return show_job(call, *answer);
    const auto out = answer ? report_refusal(call.io, *answer, effect::changes)
                            : report_failure(call.io);
    if (out == exit_code::unknown_outcome)
        call.io.err << "submit again with --id " << text_of(*job, "id")
                    << ": the id prevents a duplicate job\n";
    return out;
}

exit_code run_status(context& call)
{
    const auto& operands = call.args.positional();
    if (call.args.given("request"))
        return show_request(call, call.args.text("request"));
    const auto target = operands.empty() ? path_of({"v1", "jobs"})
                                         : path_of({"v1", "jobs", operands[0]});
    const auto answer = call.daemons.call({.target = target});
    if (!answer)
        return report_failure(call.io);
    if (!answer->is_success())
        return report_refusal(call.io, *answer, effect::reads);
    return operands.empty() ? show_jobs(call, *answer)
                            : show_job(call, *answer);
}

exit_code run_cancel(context& call)
{
    const auto id = call.args.positional()[0];
    const auto answer = call.daemons.call(
        {.method = "DELETE", .target = path_of({"v1", "jobs", id})});
    if (!answer)
        return report_failure(call.io);
    if (!answer->is_success())
        return report_refusal(call.io, *answer, effect::changes);
    if (call.wants_json())
        call.io.out << answer->body << '\n';
    else
        call.io.out << "job " << id << " canceled\n";
    return exit_code::ok;
}

verb submit_verb()
{
    return {
        .name = "submit",
        .summary = "Submits a job of one or more identical tasks.",
        .examples = "  mustardwick submit --queue nightly --tasks 20 "
                    "--millicpus 500 --memory-mb 256\n"
                    "  mustardwick submit --queue models --kind gang --tasks 4 "
                    "--accelerators 1 --id train-7\n",
        .options = {{"id", "job id; generated when absent", "ID", ""},
                    {"queue", "queue of kind jobs", "NAME", ""},
                    {"kind", "service, batch or gang", "KIND", "batch"},
                    {"priority", "best_effort, normal or urgent", "CLASS",
                     "normal"},
                    {"tasks", "number of tasks", "N", "1"},
                    {"millicpus", "thousandths of a CPU per task", "N", "100"},
                    {"memory-mb", "memory per task, in MB", "N", "64"},
                    {"accelerators", "accelerators per task", "N", "0"},
                    {"run-ms",
                     "expected run time, in milliseconds; 0 when unknown", "N",
                     "0"},
                    {"payload", "text passed to each task", "TEXT", ""}},
        .run = run_submit};
}

} // namespace

std::vector<verb> job_verbs()
{
    return {
        submit_verb(),
        {.name = "status",
         .operands = "[JOB]",
         .summary = "Shows a job with its tasks, all jobs, or a request.",
         .examples = "  mustardwick status\n"
                     "  mustardwick status train-7 --output json\n"
                     "  mustardwick status --request dep-991\n",
         .max_operands = 1,
         .options = {{"request",
                      "show the outcome of this non-idempotent request", "ID",
                      ""}},
         .run = run_status},
        {.name = "cancel",
         .operands = "JOB",
         .summary = "Cancels a job and stops its tasks.",
         .examples = "  mustardwick cancel train-7\n",
         .min_operands = 1,
         .max_operands = 1,
         .run = run_cancel},
    };
}

} // namespace mustardwick::cli
