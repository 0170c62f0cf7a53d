#include "mustardwick/cli/report.hpp"

#include "mustardwick/base/error.hpp"
#include "mustardwick/cli/table.hpp"

namespace mustardwick::cli
{

namespace
{

/// The daemon answers 500 and 504 when it does not know whether the call took
/// effect. A success status without the expected outcome proves nothing either.
bool outcome_is_unknown(const api_answer& answer, const web::json::value& body)
{
    return answer.earlier_attempt_lost || answer.is_success() ||
           answer.status == 500 || answer.status == 504 ||
           text_of(body, "outcome") == "unknown";
}

/// Error answers have a message; outcomes of requests have a reason.
std::string reason_of(const web::json::value& body)
{
    const auto message = text_of(body, "message");
    return message.empty() ? text_of(body, "reason") : message;
}

} // namespace

exit_code report_failure(console& io)
{
    const auto& reason = base::last_error();
    io.err << "error: " << printable(reason.text()) << '\n';
    switch (reason.kind)
    {
    case base::error_kind::invalid_input:
        return exit_code::usage;
    case base::error_kind::timeout:
        return exit_code::unknown_outcome;
    case base::error_kind::unavailable:
        return exit_code::unreachable;
    default:
        return exit_code::refused;
    }
}

exit_code report_refusal(console& io, const api_answer& answer, effect kind)
{
    const auto body = answer.json().value_or(web::json::value::object());
    const bool unknown =
        kind == effect::changes && outcome_is_unknown(answer, body);
    io.err << (unknown ? "outcome unknown" : "refused") << " (" << answer.status
           << "): " << printable(reason_of(body));
    const auto remedy = text_of(body, "remedy");
    if (!remedy.empty())
        io.err << "; " << printable(remedy);
    const auto current = member_of(body, "current_version");
    if (!current.is_null())
        io.err << "; current version " << current.serialize();
    io.err << '\n';
    return unknown ? exit_code::unknown_outcome : exit_code::refused;
}

web::json::value member_of(const web::json::value& object,
                           std::string_view name)
{
    if (!object.is_object())
        return web::json::value::null();
    const auto& members = object.as_object();
    const auto it = members.find(std::string(name));
    return it == members.end() ? web::json::value::null() : it->second;
}

std::string text_of(const web::json::value& object, std::string_view name)
{
    const auto member = member_of(object, name);
    return member.is_string() ? member.as_string() : "";
}

std::int64_t number_of(const web::json::value& object, std::string_view name,
                       std::int64_t fallback)
{
    const auto member = member_of(object, name);
    const bool whole = member.is_number() && member.as_number().is_int64();
    return whole ? member.as_number().to_int64() : fallback;
}

} // namespace mustardwick::cli
