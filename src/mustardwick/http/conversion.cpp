#include "conversion.hpp"

#include <string>
#include <utility>

namespace mustardwick::http
{

namespace beast = boost::beast;

namespace
{

std::string to_text(beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

std::optional<request> to_request(wire_request&& message)
{
    request out;
    if (!parse_target(to_text(message.target()), out))
        return std::nullopt;
    out.method = to_text(message.method_string());
    out.authorization = to_text(message[beast::http::field::authorization]);
    out.content_type = to_text(message[beast::http::field::content_type]);
    out.body = std::move(message.body());
    return out;
}

wire_response to_wire(response&& value, bool keep_alive)
{
    wire_response out;
    out.version(11);
    out.result(static_cast<unsigned>(value.status));
    out.set(beast::http::field::content_type, value.content_type);
    if (value.retry_after_seconds)
        out.set(beast::http::field::retry_after,
                std::to_string(*value.retry_after_seconds));
    out.body() = std::move(value.body);
    out.keep_alive(keep_alive);
    out.prepare_payload();
    return out;
}

std::optional<base::error> read_error(boost::system::error_code ec)
{
    using base::error_kind;
    using beast::http::error;
    if (ec == error::body_limit)
        return base::error{error_kind::too_large, "the body is too large",
                           "send a smaller body"};
    if (ec == error::header_limit || ec == error::buffer_overflow)
        return base::error{error_kind::too_large, "the headers are too large",
                           "send fewer or shorter headers"};
    const bool malformed =
        ec.category() == make_error_code(error::bad_target).category();
    if (malformed && ec != error::end_of_stream && ec != error::partial_message)
        return base::error{error_kind::invalid_input,
                           "the request is malformed: " + ec.message(),
                           "send a valid HTTP/1.1 request"};
    return std::nullopt;
}

} // namespace mustardwick::http
