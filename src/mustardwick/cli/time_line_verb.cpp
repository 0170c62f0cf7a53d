#include "mustardwick/base/error.hpp"
#include "mustardwick/cli/report.hpp"
#include "mustardwick/cli/time_line_merge.hpp"
#include "mustardwick/cli/verb.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::cli
{

namespace
{

std::optional<events> fetch(context& call, const wire::endpoint& daemon,
                            exit_code& failure)
{
    const auto filter = call.args.text("filter");
    const auto answer =
        call.daemons.call_at(daemon, {.target = path_of({"v1", "timeline"}) +
                                                "?filter=" + encode(filter)});
    std::optional<events> out;
    if (answer && !answer->is_success())
        failure = report_refusal(call.io, *answer, effect::reads);
    else
    {
        const auto body = answer ? answer->json() : std::nullopt;
        out = body ? parse_events(*body) : std::nullopt;
        if (!out)
            failure = report_failure(call.io);
    }
    return out;
}

void show(context& call, const events& list)
{
    if (call.output == "text")
        print_text(call.io.out, list);
    else if (call.output == "trace")
        call.io.out << to_trace(list).serialize() << '\n';
    else
        call.io.out << to_json(list).serialize() << '\n';
}

/// Prints the events of the daemons that answer. When a call fails, the time
/// line is incomplete, and the exit code is that of the failed call.
exit_code run_time_line(context& call)
{
    auto out = exit_code::ok;
    std::vector<events> lists;
    for (const auto& it : call.daemons.daemons())
        if (auto list = fetch(call, it, out))
            lists.push_back(std::move(*list));
    if (!lists.empty())
        show(call, merge_events(lists));
    if (out != exit_code::ok && !lists.empty())
        call.io.err << "the time line is incomplete: " << lists.size() << " of "
                    << call.daemons.daemons().size() << " daemons answered\n";
    return out;
}

} // namespace

std::vector<verb> time_line_verbs()
{
    return {
        {.name = "timeline",
         .summary = "Merges the time lines of all given daemons.",
         .examples =
             "  mustardwick timeline --daemon 10.0.0.1:7400 "
             "--daemon 10.0.0.2:7400 --filter train-7\n"
             "  mustardwick timeline --output trace > trace.json\n"
             "The format 'trace' can be opened in browser trace viewers.\n",
         .options = {{"filter",
                      "only events whose subject or detail contains this",
                      "TEXT", ""}},
         .outputs = {"text", "json", "trace"},
         .run = run_time_line},
    };
}

} // namespace mustardwick::cli
