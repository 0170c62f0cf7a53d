#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <cpprest/json.h>

#include "mustardwick/http/message.hpp"

namespace mustardwick::testing
{

/// @brief Builds a JSON object field by field.
class json_object
{
public:
    json_object& text(const char* name, std::string_view value);
    json_object& number(const char* name, std::int64_t value);
    json_object& flag(const char* name, bool value);
    json_object& texts(const char* name, const std::vector<std::string>& value);
    json_object& set(const char* name, web::json::value value);

    web::json::value value() const
    {
        return value_;
    }

    std::string serialize() const
    {
        return value_.serialize();
    }

private:
    web::json::value value_ = web::json::value::object();
};

/// @brief Converts each item of a range with the given function to a JSON
/// array.
template <typename Range, typename Function>
web::json::value json_array(const Range& items, Function&& convert)
{
    std::vector<web::json::value> out;
    out.reserve(items.size());
    for (const auto& it : items)
        out.push_back(convert(it));
    return web::json::value::array(std::move(out));
}

http::response json_response(const json_object& body, int status = 200);

/// @brief Returns an error response with the given HTTP status.
http::response make_error_response(int status, std::string_view kind,
                                   std::string_view message);

/// @brief Returns a 400 response that lists the errors found in a body.
http::response invalid_input_response(const std::vector<std::string>& errors);

} // namespace mustardwick::testing
