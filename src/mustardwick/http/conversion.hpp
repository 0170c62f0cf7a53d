#pragma once

#include <optional>

#include <boost/beast/http.hpp>

#include "mustardwick/base/error.hpp"
#include "mustardwick/http/message.hpp"

namespace mustardwick::http
{

using wire_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using wire_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Converts a parsed request; sets last_error() on a malformed target.
std::optional<request> to_request(wire_request&& message);

wire_response to_wire(response&& value, bool keep_alive);

/// Returns the error to report for a request that could not be read; empty when
/// the connection ended and no response is possible.
std::optional<base::error> read_error(boost::system::error_code ec);

} // namespace mustardwick::http
