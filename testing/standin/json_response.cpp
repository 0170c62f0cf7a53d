#include "testing/standin/json_response.hpp"

#include <utility>

namespace mustardwick::testing
{

json_object& json_object::set(const char* name, web::json::value item)
{
    value_[name] = std::move(item);
    return *this;
}

json_object& json_object::text(const char* name, std::string_view item)
{
    return set(name, web::json::value::string(std::string(item)));
}

json_object& json_object::number(const char* name, std::int64_t item)
{
    return set(name, web::json::value::number(item));
}

json_object& json_object::flag(const char* name, bool item)
{
    return set(name, web::json::value::boolean(item));
}

json_object& json_object::texts(const char* name,
                                const std::vector<std::string>& items)
{
    return set(name, json_array(items,
                                [](const std::string& it)
                                {
                                    return web::json::value::string(it);
                                }));
}

http::response json_response(const json_object& body, int status)
{
    http::response out;
    out.status = status;
    out.body = body.serialize();
    return out;
}

http::response make_error_response(int status, std::string_view kind,
                                   std::string_view message)
{
    json_object body;
    body.text("error", kind).text("message", message);
    return json_response(body, status);
}

http::response invalid_input_response(const std::vector<std::string>& errors)
{
    std::string text;
    for (const auto& it : errors)
        text += (text.empty() ? "" : "; ") + it;
    return make_error_response(400, "invalid_input", text);
}

} // namespace mustardwick::testing
