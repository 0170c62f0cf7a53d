#include <algorithm>

#include "mustardwick/base/error.hpp"
#include "mustardwick/cli/files.hpp"
#include "mustardwick/cli/report.hpp"
#include "mustardwick/cli/resource.hpp"
#include "mustardwick/cli/resource_file.hpp"
#include "mustardwick/cli/verb.hpp"

namespace mustardwick::cli
{

namespace
{

/// Number of times that --force repeats a write after a version conflict.
constexpr int max_forced_retries = 8;

/// Applies one resource of a file.
class applier
{
public:
    applier(context& call, const declared_resource& resource)
        : call_(call), resource_(resource),
          retries_left_(call.args.given("force") ? max_forced_retries : 0)
    {
    }

    exit_code run()
    {
        if (resource_.version)
            return replace(*resource_.version);
        const auto current = get_resource(call_.daemons, resource_.id);
        if (!current)
            return report_failure(call_.io);
        if (current->status == 404)
            return create();
        if (!current->is_success())
            return report_refusal(call_.io, *current, effect::reads);
        const auto body = current->json();
        if (!body)
            return report_failure(call_.io);
        if (member_of(*body, "desired") == resource_.desired)
            return report_result("unchanged", number_of(*body, "version"));
        return replace(number_of(*body, "version"));
    }

private:
    exit_code create()
    {
        const auto answer =
            create_resource(call_.daemons, resource_.id, resource_.desired);
        return handle_answer(answer, "created");
    }

    exit_code replace(std::int64_t version)
    {
        const auto answer = replace_resource(call_.daemons, resource_.id,
                                             resource_.desired, version);
        return handle_answer(answer, "configured");
    }

    exit_code handle_answer(const std::optional<api_answer>& answer,
                            std::string_view what)
    {
        if (!answer)
            return report_failure(call_.io);
        if (answer->status == 409 && retries_left_ > 0)
            return retry(*answer);
        if (!answer->is_success())
            return report_refused(*answer);
        const auto body = answer->json();
        return report_result(what, body ? number_of(*body, "version") : 0);
    }

    exit_code retry(const api_answer& answer)
    {
        --retries_left_;
        const auto body = answer.json();
        const auto version = body ? number_of(*body, "current_version") : 0;
        // Without a current version the resource was deleted in the meantime.
        return version > 0 ? replace(version) : create();
    }

    exit_code report_refused(const api_answer& answer)
    {
        call_.io.err << resource_.id.text() << ": ";
        return report_refusal(call_.io, answer, effect::changes);
    }

    exit_code report_result(std::string_view what, std::int64_t version)
    {
        if (call_.wants_json())
        {
            auto line = web::json::value::object();
            line["kind"] = web::json::value::string(resource_.id.kind);
            line["name"] = web::json::value::string(resource_.id.name);
            line["result"] = web::json::value::string(std::string(what));
            line["version"] = web::json::value::number(version);
            call_.io.out << line.serialize() << '\n';
        }
        else
            call_.io.out << resource_.id.text() << ' ' << what << " (version "
                         << version << ")\n";
        return exit_code::ok;
    }

    context& call_;
    const declared_resource& resource_;
    int retries_left_;
};

exit_code run_apply(context& call)
{
    if (!call.args.given("file"))
    {
        base::fail(base::error_kind::invalid_input, "a file is required",
                   "give -f FILE, or -f - for standard input");
        return report_failure(call.io);
    }
    const auto text = read_file(call.args.text("file"), call.io.in);
    const auto resources = text ? parse_resources(*text) : std::nullopt;
    if (!resources)
        return report_failure(call.io);
    auto worst = exit_code::ok;
    for (const auto& it : *resources)
    {
        worst = std::max(worst, applier(call, it).run());
        // A refusal concerns one resource only; stop on other failures.
        if (worst > exit_code::refused)
            break;
    }
    return worst;
}

std::optional<std::int64_t>
version_to_delete(context& call, const resource_id& id, exit_code& failure)
{
    if (call.args.given("version"))
    {
        const auto given = call.args.number("version", 0, INT64_MAX);
        if (!given)
            failure = report_failure(call.io);
        return given;
    }
    const auto current = get_resource(call.daemons, id);
    const auto body =
        current && current->is_success() ? current->json() : std::nullopt;
    if (body)
        return number_of(*body, "version");
    failure = current && !current->is_success()
                  ? report_refusal(call.io, *current, effect::reads)
                  : report_failure(call.io);
    return std::nullopt;
}

exit_code run_delete(context& call)
{
    const auto kind = parse_kind(call.args.positional()[0]);
    if (!kind)
        return report_failure(call.io);
    const resource_id id{*kind, call.args.positional()[1]};
    auto failure = exit_code::ok;
    const auto version = version_to_delete(call, id, failure);
    if (!version)
        return failure;
    const auto answer = delete_resource(call.daemons, id, *version);
    if (!answer)
        return report_failure(call.io);
    if (!answer->is_success())
        return report_refusal(call.io, *answer, effect::changes);
    if (call.wants_json())
        call.io.out << answer->body << '\n';
    else
        call.io.out << id.text() << " deleted\n";
    return exit_code::ok;
}

} // namespace

std::vector<verb> resource_write_verbs()
{
    return {
        {.name = "apply",
         .summary = "Creates or updates the resources in a file.",
         .examples =
             "  mustardwick apply -f queues.json\n"
             "  mustardwick get teams bookings --output json > team.json\n"
             "  mustardwick apply -f team.json --force\n"
             "A file contains one resource or an array of them:\n"
             "  {\"kind\":\"queues\",\"name\":\"bookings\",\n"
             "   \"desired\":{\"team\":\"sales\",\"kind\":\"requests\"}}\n",
         .options = {{"f,file", "file to apply; - reads standard input", "FILE",
                      ""},
                     {"force",
                      "on a version conflict, overwrite the other change", "",
                      ""}},
         .run = run_apply},
        {.name = "delete",
         .operands = "KIND NAME",
         .summary = "Deletes a resource.",
         .examples = "  mustardwick delete queues old-bookings\n"
                     "  mustardwick delete hosts w-001 --version 17\n",
         .min_operands = 2,
         .max_operands = 2,
         .options = {{"version", "delete only this version", "N", ""}},
         .run = run_delete},
    };
}

} // namespace mustardwick::cli
