#include "mustardwick/http/message.hpp"

#include <utility>

#include <cpprest/json.h>

#include "mustardwick/base/utf8.hpp"

namespace mustardwick::http
{

namespace
{

int hex_digit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

std::optional<std::string> percent_decode(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        if (text[n] != '%')
        {
            out += text[n];
            continue;
        }
        const bool whole = n + 2 < text.size();
        const int high = whole ? hex_digit(text[n + 1]) : -1;
        const int low = whole ? hex_digit(text[n + 2]) : -1;
        if (high < 0 || low < 0)
            return std::nullopt;
        out += static_cast<char>(high * 16 + low);
        n += 2;
    }
    if (!base::is_utf8(out) || out.find('\0') != std::string::npos)
        return std::nullopt;
    return out;
}

bool fail_malformed_target()
{
    base::fail(base::error_kind::invalid_input,
               "the request target is malformed",
               "escape UTF-8 text as %XX and leave out NUL");
    return false;
}

} // namespace

std::string request::parameter(std::string_view name,
                               std::string_view fallback) const
{
    const auto it = query.find(name);
    return it == query.end() ? std::string(fallback) : it->second;
}

bool parse_target(std::string_view target, request& out)
{
    const auto mark = target.find('?');
    auto path = percent_decode(target.substr(0, mark));
    if (!path)
        return fail_malformed_target();
    out.path = std::move(*path);
    if (mark == std::string_view::npos)
        return true;
    auto rest = target.substr(mark + 1);
    while (!rest.empty())
    {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equal = pair.find('=');
        auto name = percent_decode(pair.substr(0, equal));
        auto value = percent_decode(
            equal == std::string_view::npos ? "" : pair.substr(equal + 1));
        if (!name || !value)
            return fail_malformed_target();
        out.query[std::move(*name)] = std::move(*value);
        rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    }
    return true;
}

int status_of(base::error_kind kind)
{
    using base::error_kind;
    switch (kind)
    {
    case error_kind::none:
        return 200;
    case error_kind::invalid_input:
        return 400;
    case error_kind::unauthenticated:
        return 401;
    case error_kind::forbidden:
        return 403;
    case error_kind::not_found:
        return 404;
    case error_kind::conflict:
        return 409;
    case error_kind::stale:
        return 410;
    case error_kind::too_large:
        return 413;
    case error_kind::overloaded:
        return 429;
    case error_kind::timeout:
        return 504;
    case error_kind::unavailable:
    case error_kind::canceled:
        return 503;
    case error_kind::internal:
        break;
    }
    return 500;
}

response error_response(const base::error& reason)
{
    auto body = web::json::value::object();
    body["error"] = web::json::value::string(std::string(name_of(reason.kind)));
    body["message"] = web::json::value::string(reason.message);
    body["remedy"] = web::json::value::string(reason.remedy);
    response out;
    out.status = status_of(reason.kind);
    out.body = body.serialize();
    const bool temporary = reason.kind == base::error_kind::overloaded ||
                           reason.kind == base::error_kind::unavailable;
    if (temporary)
        out.retry_after_seconds = 1;
    return out;
}

} // namespace mustardwick::http
