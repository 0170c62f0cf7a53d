#include "testing/scenario/daemon_client.hpp"

#include "mustardwick/base/json.hpp"

namespace mustardwick::testing
{

std::string api_reply::text(const char* field) const
{
    return body.is_object() && body.has_string_field(field)
               ? body.at(field).as_string()
               : "";
}

std::int64_t api_reply::number(const char* field) const
{
    return body.is_object() && body.has_number_field(field)
               ? body.at(field).as_number().to_int64()
               : 0;
}

api_reply daemon_client::send(const api_call& call)
{
    http::client_call out;
    out.method = call.method;
    out.target = call.path;
    out.timeout = call.timeout;
    if (!call.body.is_null())
        out.body = call.body.serialize();
    if (!call.key.empty())
        out.authorization = "Bearer " + call.key;
    auto progress = http::delivery::not_sent;
    const auto reply = client_.send({"127.0.0.1", call.port}, out, &progress);
    api_reply result;
    result.not_sent = !reply && progress == http::delivery::not_sent;
    if (!reply)
        return result;
    result.status = reply->status;
    result.body = base::parse_json(reply->body).value_or(web::json::value());
    return result;
}

} // namespace mustardwick::testing
