#include "mustardwick/base/error.hpp"
#include "mustardwick/cli/report.hpp"
#include "mustardwick/cli/verb.hpp"

namespace mustardwick::cli
{

namespace
{

exit_code report_failed_grant(console& io, const std::string& name)
{
    const auto out = report_failure(io);
    if (out == exit_code::unknown_outcome)
        io.err << "if the key was created, its secret cannot be shown again: "
                  "run 'mustardwick withdraw-key "
               << name << "', then grant a key under another name\n";
    return out;
}

exit_code run_grant(context& call)
{
    const auto name = call.args.positional()[0];
    if (!call.args.given("team"))
    {
        base::fail(base::error_kind::invalid_input, "a team is required",
                   "give --team TEAM");
        return report_failure(call.io);
    }
    auto body = web::json::value::object();
    body["name"] = web::json::value::string(name);
    body["team"] = web::json::value::string(call.args.text("team"));
    const auto answer = call.daemons.call({.method = "POST",
                                           .target = path_of({"v1", "keys"}),
                                           .body = body.serialize(),
                                           .policy = resend::only_if_not_sent});
    if (!answer)
        return report_failed_grant(call.io, name);
    if (!answer->is_success())
        return report_refusal(call.io, *answer, effect::changes);
    const auto result = answer->json();
    if (!result)
        return report_failure(call.io);
    if (call.wants_json())
        call.io.out << result->serialize() << '\n';
    else
        call.io.out << text_of(*result, "key") << '\n';
    return exit_code::ok;
}

/// Withdrawing a key is idempotent, so the call may be resent.
exit_code run_withdraw(context& call)
{
    const auto name = call.args.positional()[0];
    const auto answer = call.daemons.call(
        {.method = "DELETE", .target = path_of({"v1", "keys", name})});
    if (!answer)
        return report_failure(call.io);
    if (!answer->is_success())
        return report_refusal(call.io, *answer, effect::changes);
    if (call.wants_json())
        call.io.out << answer->body << '\n';
    else
        call.io.out << "keys/" << name << " withdrawn\n";
    return exit_code::ok;
}

} // namespace

std::vector<verb> key_verbs()
{
    return {
        {.name = "grant-key",
         .operands = "NAME",
         .summary =
             "Creates a key for a team and prints it, which is possible only "
             "once.",
         .examples =
             "  mustardwick grant-key till-3 --team bookings > till-3.key\n",
         .min_operands = 1,
         .max_operands = 1,
         .options = {{"team", "team that the key authenticates", "TEAM", ""}},
         .run = run_grant},
        {.name = "withdraw-key",
         .operands = "NAME",
         .summary = "Withdraws a key; it stops working within seconds.",
         .examples = "  mustardwick withdraw-key till-3\n",
         .min_operands = 1,
         .max_operands = 1,
         .run = run_withdraw},
    };
}

} // namespace mustardwick::cli
