#include "mustardwick/cli/report.hpp"
#include "mustardwick/cli/resource.hpp"
#include "mustardwick/cli/resource_table.hpp"
#include "mustardwick/cli/verb.hpp"

namespace mustardwick::cli
{

namespace
{

exit_code show(context& call, const std::string& kind,
               const web::json::value& items)
{
    print(call.io.out, make_resource_table(kind, items));
    return exit_code::ok;
}

exit_code run_list(context& call)
{
    const auto kind = parse_kind(call.args.positional()[0]);
    if (!kind)
        return report_failure(call.io);
    const auto answer = list_resources(call.daemons, *kind);
    if (!answer)
        return report_failure(call.io);
    if (!answer->is_success())
        return report_refusal(call.io, *answer, effect::reads);
    const auto body = answer->json();
    if (!body)
        return report_failure(call.io);
    if (!call.wants_json())
        return show(call, *kind, member_of(*body, "items"));
    call.io.out << body->serialize() << '\n';
    return exit_code::ok;
}

exit_code run_get(context& call)
{
    const auto kind = parse_kind(call.args.positional()[0]);
    if (!kind)
        return report_failure(call.io);
    const resource_id id{*kind, call.args.positional()[1]};
    const auto answer = get_resource(call.daemons, id);
    if (!answer)
        return report_failure(call.io);
    if (!answer->is_success())
        return report_refusal(call.io, *answer, effect::reads);
    const auto body = answer->json();
    if (!body)
        return report_failure(call.io);
    if (!call.wants_json())
        return show(call, *kind, web::json::value::array({*body}));
    call.io.out << body->serialize() << '\n';
    return exit_code::ok;
}

} // namespace

std::vector<verb> resource_read_verbs()
{
    return {
        {.name = "get",
         .operands = "KIND NAME",
         .summary = "Shows one resource.",
         .examples = "  mustardwick get hosts w-001\n"
                     "  mustardwick get teams bookings --output json\n",
         .min_operands = 2,
         .max_operands = 2,
         .run = run_get},
        {.name = "list",
         .operands = "KIND",
         .summary = "Lists the queues, teams, keys, hosts or failure-domains.",
         .examples = "  mustardwick list hosts\n"
                     "  mustardwick list queues --output json\n",
         .min_operands = 1,
         .max_operands = 1,
         .run = run_list},
    };
}

} // namespace mustardwick::cli
