#include "mustardwick/cli/report.hpp"
#include "mustardwick/cli/resource_table.hpp"
#include "mustardwick/cli/table.hpp"
#include "mustardwick/cli/verb.hpp"

namespace mustardwick::cli
{

namespace
{

/// Adds a row for each value, named by its dotted path.
void flatten(const web::json::value& value, const std::string& path, table& out)
{
    if (!value.is_object())
    {
        out.rows.push_back({path, cell_of(value)});
        return;
    }
    for (const auto& [name, member] : value.as_object())
        flatten(member, path.empty() ? name : path + "." + name, out);
}

exit_code run_stats(context& call)
{
    const auto answer = call.daemons.call({.target = path_of({"v1", "stats"})});
    if (!answer)
        return report_failure(call.io);
    if (!answer->is_success())
        return report_refusal(call.io, *answer, effect::reads);
    const auto body = answer->json();
    if (!body)
        return report_failure(call.io);
    if (call.wants_json())
    {
        call.io.out << body->serialize() << '\n';
        return exit_code::ok;
    }
    table out;
    out.headings = {"NAME", "VALUE"};
    flatten(*body, "", out);
    print(call.io.out, out);
    return exit_code::ok;
}

} // namespace

std::vector<verb> stats_verbs()
{
    return {
        {.name = "stats",
         .summary = "Shows the statistics of the first daemon that answers.",
         .examples = "  mustardwick stats\n"
                     "  mustardwick stats --daemon 10.0.0.2:7400 "
                     "--output json\n",
         .run = run_stats},
    };
}

} // namespace mustardwick::cli
