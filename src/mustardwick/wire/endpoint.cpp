#include "mustardwick/wire/endpoint.hpp"

#include <charconv>

#include <boost/asio/ip/address.hpp>

#include "mustardwick/base/error.hpp"

namespace mustardwick::wire
{

namespace
{

constexpr std::string_view remedy =
    "give an IP number and a port, such as 127.0.0.1:7400";

std::optional<endpoint> refuse(std::string_view text)
{
    return base::fail(base::error_kind::invalid_input,
                      "not an address with a port: " + std::string(text),
                      std::string(remedy));
}

} // namespace

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return refuse(text);
    auto address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    boost::system::error_code ec;
    boost::asio::ip::make_address(std::string(address), ec);
    if (ec)
        return refuse(text);
    const auto digits = text.substr(colon + 1);
    endpoint out{std::string(address), 0};
    const auto* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, out.port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return refuse(text);
    return out;
}

std::string to_string(const endpoint& value)
{
    const bool is_v6 = value.address.find(':') != std::string::npos;
    const auto host = is_v6 ? '[' + value.address + ']' : value.address;
    return host + ':' + std::to_string(value.port);
}

} // namespace mustardwick::wire
