#include "mustardwick/cli/transport.hpp"

#include <exception>
#include <mutex>
#include <string_view>
#include <vector>

#include <boost/asio/ssl/context.hpp>
#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

#include "mustardwick/base/error.hpp"

namespace mustardwick::cli
{

namespace
{

namespace rest = web::http;

/// cpprestsdk starts 40 threads by default; one call at a time needs two.
constexpr std::size_t pool_threads = 2;

void limit_thread_pool()
{
    static std::once_flag once;
    std::call_once(once,
                   []
                   {
                       crossplat::threadpool::initialize_with_threads(
                           pool_threads);
                   });
}

rest::client::http_client_config config_of(const transport_call& call)
{
    rest::client::http_client_config out;
    out.set_timeout(call.timeout);
    // Following a redirect would send the key to another address.
    out.set_max_redirects(0);
    if (!call.ca_file.empty())
        out.set_ssl_context_callback(
            [file = call.ca_file](boost::asio::ssl::context& context)
            {
                context.load_verify_file(file);
            });
    return out;
}

web::uri base_uri(const transport_call& call)
{
    const std::string scheme = call.ca_file.empty() ? "http://" : "https://";
    return web::uri(scheme + wire::to_string(call.daemon));
}

rest::http_request request_of(const transport_call& call)
{
    rest::http_request out(call.method);
    out.set_request_uri(web::uri(call.target));
    out.headers().add(rest::header_names::connection, "close");
    if (!call.key.empty())
        out.headers().add(rest::header_names::authorization,
                          "Bearer " + call.key);
    if (call.body.empty())
        return out;
    // For a string body the library casts a stream of char to a stream of
    // bytes, which the undefined behavior sanitizer reports.
    out.set_body(
        std::vector<unsigned char>(call.body.begin(), call.body.end()));
    out.headers().set_content_type("application/json");
    return out;
}

/// Only the message of the exception identifies failures before the request was
/// written: error codes such as host_unreachable also come from later reads. An
/// unknown message counts as sent, which is the conservative choice.
bool failed_before_sending(std::string_view message)
{
    return message.starts_with("Error resolving address") ||
           message.starts_with("Failed to connect") ||
           message.starts_with("Error in SSL handshake");
}

} // namespace

std::optional<http::reply> send_once(const transport_call& call,
                                     http::delivery& progress)
{
    progress = http::delivery::not_sent;
    const auto peer = wire::to_string(call.daemon);
    try
    {
        limit_thread_pool();
        rest::client::http_client client(base_uri(call), config_of(call));
        auto message = request_of(call);
        progress = http::delivery::maybe_sent;
        auto answer = client.request(message).get();
        return http::reply{answer.status_code(),
                           answer.extract_utf8string(true).get()};
    }
    catch (const rest::http_exception& ex)
    {
        if (failed_before_sending(ex.what()))
            progress = http::delivery::not_sent;
        return base::fail(base::error_kind::unavailable,
                          "no answer from " + peer + ": " + ex.what(),
                          "check the address and that the daemon runs");
    }
    catch (const std::exception& ex)
    {
        return base::fail(base::error_kind::unavailable,
                          "cannot call " + peer + ": " + ex.what(),
                          "check the address and the --ca file");
    }
}

} // namespace mustardwick::cli
