#include <algorithm>
#include <chrono>
#include <thread>

#include "mustardwick/base/error.hpp"
#include "mustardwick/cli/report.hpp"
#include "mustardwick/cli/resource.hpp"
#include "mustardwick/cli/running_work.hpp"
#include "mustardwick/cli/verb.hpp"

namespace mustardwick::cli
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Attempts in total when other operators change the resource concurrently.
constexpr int max_write_attempts = 8;
constexpr milliseconds poll_interval{500};
constexpr std::int64_t max_wait_ms = 86'400'000;

std::optional<resource_id> parse_target(const arguments& args)
{
    const auto kind = parse_kind(args.positional()[0]);
    if (!kind)
        return std::nullopt;
    if (*kind == "hosts" || *kind == "failure-domains")
        return resource_id{*kind, args.positional()[1]};
    return base::fail(base::error_kind::invalid_input,
                      *kind + " cannot be drained or restored",
                      "give hosts or failure-domains");
}

exit_code show_result(context& call, const resource_id& id, bool in_service,
                      const web::json::value& resource)
{
    if (call.wants_json())
        call.io.out << resource.serialize() << '\n';
    else
        call.io.out << id.text()
                    << (in_service ? " is in service" : " is out of service")
                    << " (version " << number_of(resource, "version") << ")\n";
    return exit_code::ok;
}

/// Reads the resource, changes the one field and writes it back. On a version
/// conflict it reads again, because the verb owns only this field.
exit_code set_in_service(context& call, const resource_id& id, bool value)
{
    for (int n = 0; n < max_write_attempts; ++n)
    {
        const auto current = get_resource(call.daemons, id);
        if (!current)
            return report_failure(call.io);
        if (!current->is_success())
            return report_refusal(call.io, *current, effect::reads);
        const auto body = current->json();
        if (!body)
            return report_failure(call.io);
        auto desired = member_of(*body, "desired");
        if (member_of(desired, "in_service") ==
            web::json::value::boolean(value))
            return show_result(call, id, value, *body);
        desired["in_service"] = web::json::value::boolean(value);
        const auto answer = replace_resource(call.daemons, id, desired,
                                             number_of(*body, "version"));
        if (!answer)
            return report_failure(call.io);
        if (answer->status == 409)
            continue;
        if (!answer->is_success())
            return report_refusal(call.io, *answer, effect::changes);
        return show_result(call, id, value,
                           answer->json().value_or(web::json::value()));
    }
    base::fail(base::error_kind::conflict,
               id.text() + " was changed concurrently on every attempt",
               "run the command again");
    return report_failure(call.io);
}

struct wait_times
{
    milliseconds limit;
    /// Time for the change to reach all daemons. Until then they may still
    /// start tasks on the host, so a host that is empty earlier may not be
    /// drained yet.
    milliseconds settle;
};

exit_code report_unfinished(console& io, const resource_id& id,
                            std::optional<std::int64_t> running)
{
    io.err << "error: "
           << (running
                   ? std::to_string(*running) + " tasks are still running on "
                   : "no daemon could be queried for the tasks on ")
           << id.text() << "; increase --wait-ms to wait longer\n";
    return running ? exit_code::refused : exit_code::unreachable;
}

exit_code wait_until_empty(context& call, const resource_id& id,
                           const wait_times& times)
{
    const auto settled = steady_clock::now() + times.settle;
    const auto deadline =
        steady_clock::now() + std::max(times.limit, times.settle);
    while (true)
    {
        const auto checked = steady_clock::now();
        const auto running = count_running(call.daemons, id);
        // Daemons may be unreachable for a while, for example during a restart;
        // keep polling until the deadline.
        const bool unreachable = !running && base::last_error().kind ==
                                                 base::error_kind::unavailable;
        if (!running && !unreachable)
            return report_failure(call.io);
        if (running == 0 && checked >= settled)
            break;
        if (checked >= deadline)
            return report_unfinished(call.io, id, running);
        std::this_thread::sleep_for(poll_interval);
    }
    call.io.err << "no task runs on " << id.text() << '\n';
    return exit_code::ok;
}

std::optional<wait_times> parse_times(const arguments& args)
{
    const auto limit = args.number("wait-ms", 0, max_wait_ms);
    const auto settle =
        limit ? args.number("settle-ms", 0, max_wait_ms) : std::nullopt;
    if (!settle)
        return std::nullopt;
    return wait_times{milliseconds{*limit}, milliseconds{*settle}};
}

exit_code run_drain(context& call)
{
    const auto id = parse_target(call.args);
    const auto times = id ? parse_times(call.args) : std::nullopt;
    if (!times)
        return report_failure(call.io);
    const auto out = set_in_service(call, *id, false);
    if (out != exit_code::ok || !call.args.given("wait"))
        return out;
    return wait_until_empty(call, *id, *times);
}

exit_code run_restore(context& call)
{
    const auto id = parse_target(call.args);
    if (!id)
        return report_failure(call.io);
    return set_in_service(call, *id, true);
}

} // namespace

std::vector<verb> drain_verbs()
{
    return {
        {.name = "drain",
         .operands = "KIND NAME",
         .summary = "Takes a host or failure domain out of service.",
         .examples = "  mustardwick drain host w-001 --wait\n"
                     "  mustardwick drain failure-domain rufisque --wait "
                     "--wait-ms 600000\n",
         .min_operands = 2,
         .max_operands = 2,
         .options =
             {{"wait", "wait until no task runs there", "", ""},
              {"wait-ms", "maximum time to wait, in milliseconds", "N",
               "300000"},
              {"settle-ms",
               "time for the change to reach all daemons, in milliseconds", "N",
               "4000"}},
         .run = run_drain},
        {.name = "restore",
         .operands = "KIND NAME",
         .summary = "Puts a host or failure domain back into service.",
         .examples = "  mustardwick restore host w-001\n"
                     "  mustardwick restore failure-domain rufisque\n",
         .min_operands = 2,
         .max_operands = 2,
         .run = run_restore},
    };
}

} // namespace mustardwick::cli
