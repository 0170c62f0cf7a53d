#include <chrono>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/identity.hpp"
#include "mustardwick/cli/files.hpp"
#include "mustardwick/cli/report.hpp"
#include "mustardwick/cli/request_status.hpp"
#include "mustardwick/cli/table.hpp"
#include "mustardwick/cli/verb.hpp"

namespace mustardwick::cli
{

namespace
{

constexpr std::int64_t max_deadline_ms = 600'000;

std::optional<std::string> body_of(context& call)
{
    if (call.args.given("file"))
        return read_file(call.args.text("file"), call.io.in);
    return call.args.text("body");
}

std::optional<web::json::value> request_of(context& call)
{
    const auto& args = call.args;
    if (!args.given("queue"))
        return base::fail(base::error_kind::invalid_input,
                          "a queue is required", "give --queue NAME");
    const auto body = body_of(call);
    const auto deadline =
        body ? args.number("deadline-ms", 1, max_deadline_ms) : std::nullopt;
    if (!deadline)
        return std::nullopt;
    auto out = web::json::value::object();
    out["id"] = web::json::value::string(args.given("id") ? args.text("id")
                                                          : base::unique_id());
    out["queue"] = web::json::value::string(args.text("queue"));
    out["idempotent"] = web::json::value::boolean(args.given("idempotent"));
    out["deadline_ms"] = web::json::value::number(*deadline);
    out["body"] = web::json::value::string(*body);
    return out;
}

/// Prints the target's answer unchanged to the output, and an error status to
/// the error stream.
exit_code print_answer(context& call, const web::json::value& result)
{
    const auto text = text_of(result, "body");
    call.io.out << text;
    if (text.empty() || text.back() != '\n')
        call.io.out << '\n';
    const auto status = number_of(result, "status");
    if (status >= 400)
        call.io.err << "the target answered with status " << status << '\n';
    return exit_code::ok;
}

void print_retry_hint(console& io, const std::string& id, bool idempotent)
{
    if (idempotent)
        io.err << "the request is idempotent: send it again\n";
    else
        io.err << "query the outcome with 'mustardwick status --request " << id
               << "'\n";
}

/// Prints the outcome as JSON. A daemon's "refused" covers its own attempt
/// only, not an earlier one through another daemon whose answer was lost.
void show_json(console& io, web::json::value result, const api_answer& answer)
{
    const auto outcome = text_of(result, "outcome");
    if (outcome == "refused" && answer.earlier_attempt_lost)
        result["outcome"] = web::json::value::string("unknown");
    if (!outcome.empty())
        io.out << result.serialize() << '\n';
}

exit_code show_outcome(context& call, const api_answer& answer)
{
    const auto result = answer.json().value_or(web::json::value::object());
    const bool done = text_of(result, "outcome") == "done";
    if (call.wants_json())
        show_json(call.io, result, answer);
    if (done)
        return call.wants_json() ? exit_code::ok : print_answer(call, result);
    return report_refusal(call.io, answer, effect::changes);
}

/// The id makes it safe to resend the request through another daemon.
exit_code run_request(context& call)
{
    const auto request = request_of(call);
    if (!request)
        return report_failure(call.io);
    const std::chrono::milliseconds deadline{
        number_of(*request, "deadline_ms")};
    const auto answer =
        call.daemons.call({.method = "POST",
                           .target = path_of({"v1", "requests"}),
                           .body = request->serialize(),
                           .extra_time = deadline});
    const auto out =
        answer ? show_outcome(call, *answer) : report_failure(call.io);
    if (out == exit_code::unknown_outcome)
        print_retry_hint(call.io, text_of(*request, "id"),
                         call.args.given("idempotent"));
    return out;
}

} // namespace

exit_code show_request(context& call, const std::string& id)
{
    const auto answer =
        call.daemons.call({.target = path_of({"v1", "requests", id})});
    if (!answer)
        return report_failure(call.io);
    const auto out = show_outcome(call, *answer);
    // An overloaded daemon rejects the query, which says nothing about the
    // request.
    const bool temporary = answer->status == 429 || answer->status == 503;
    const auto body = answer->json().value_or(web::json::value::object());
    if (temporary && text_of(body, "outcome").empty())
        return exit_code::unknown_outcome;
    return out;
}

std::vector<verb> request_verbs()
{
    return {
        {.name = "request",
         .summary = "Sends one request to a target and prints its answer.",
         .examples = "  mustardwick request --queue stock --idempotent --body "
                     "'{\"part\":\"G-12\"}'\n"
                     "  mustardwick request --queue deposits --id dep-991 -f "
                     "deposit.json\n",
         .options = {{"id", "request id; generated when absent", "ID", ""},
                     {"queue", "queue of kind requests", "NAME", ""},
                     {"idempotent",
                      "the request may be executed more than once", "", ""},
                     {"deadline-ms", "deadline for the answer, in milliseconds",
                      "N", "5000"},
                     {"body", "request body", "TEXT", ""},
                     {"f,file",
                      "file with the request body; - reads standard input",
                      "FILE", ""}},
         .run = run_request},
    };
}

} // namespace mustardwick::cli
