#include "connection.hpp"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

namespace mustardwick::http
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using plain_stream = beast::tcp_stream;
using tls_stream = beast::ssl_stream<beast::tcp_stream>;

/// Limits what a peer can send between the parts of a body, such as chunk
/// extensions.
constexpr std::size_t max_read_buffer_bytes = 64U << 10U;
/// Interim (1xx) responses accepted before the final one.
constexpr int max_interim_responses = 8;

bool is_interim(unsigned status)
{
    return status >= 100 && status < 200 && status != 101;
}

template <typename Stream>
class stream_connection final : public connection
{
public:
    template <typename... Arguments>
    explicit stream_connection(traffic& counter, Arguments&... arguments)
        : counter_(counter), stream_(io_, arguments...),
          buffer_(max_read_buffer_bytes)
    {
    }

    bool open(const wire::endpoint& peer, deadline limit) override
    {
        error_code ec;
        const auto address = asio::ip::make_address(peer.address, ec);
        if (ec)
            return false;
        const bool ok =
            run(limit,
                [&](auto done)
                {
                    lowest_layer().async_connect({address, peer.port}, done);
                });
        if (!ok)
            return false;
        lowest_layer().socket().set_option(tcp::no_delay(true), ec);
        if constexpr (std::is_same_v<Stream, tls_stream>)
            return tls_handshake(address.to_string(), limit);
        return true;
    }

    bool write(wire_request& message, deadline limit) override
    {
        return run(limit,
                   [&](auto done)
                   {
                       beast::http::async_write(stream_, message,
                                                count_bytes(done));
                   });
    }

    std::optional<reply> read(const client_options& options, bool without_body,
                              deadline limit, bool& keep_alive) override
    {
        for (int n = 0; n <= max_interim_responses; ++n)
        {
            beast::http::response_parser<beast::http::string_body> parser;
            parser.body_limit(options.max_body_bytes);
            parser.skip(without_body);
            if (!read_header(parser, limit))
                return std::nullopt;
            auto& message = parser.get();
            if (is_interim(message.result_int()))
                continue;
            if (!read_body(parser, limit))
                return std::nullopt;
            // Without a length, a truncated body looks like a complete one.
            if (!without_body && parser.need_eof())
                return std::nullopt;
            keep_alive = message.keep_alive();
            return reply{static_cast<int>(message.result_int()),
                         std::move(message.body())};
        }
        return std::nullopt;
    }

    bool is_usable() override
    {
        error_code ec;
        char byte = 0;
        auto& socket = lowest_layer().socket();
        socket.non_blocking(true, ec);
        socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                       ec);
        return buffer_.size() == 0 && ec == asio::error::would_block;
    }

private:
    auto& lowest_layer()
    {
        return beast::get_lowest_layer(stream_);
    }

    bool tls_handshake(const std::string& address, deadline limit)
    {
        auto* ssl = stream_.native_handle();
        SSL_set_verify(ssl, SSL_VERIFY_PEER, nullptr);
        const int named =
            X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(ssl), address.c_str());
        return named == 1 && run(limit,
                                 [&](auto done)
                                 {
                                     stream_.async_handshake(
                                         asio::ssl::stream_base::client, done);
                                 });
    }

    // Beast 1.74 checks the announced length against the limit only when the
    // header is read separately; bytes of the body in the same read hide the
    // error.
    template <typename Parser>
    bool read_header(Parser& parser, deadline limit)
    {
        return run(limit,
                   [&](auto done)
                   {
                       beast::http::async_read_header(stream_, buffer_, parser,
                                                      count_bytes(done));
                   });
    }

    template <typename Parser>
    bool read_body(Parser& parser, deadline limit)
    {
        return run(limit,
                   [&](auto done)
                   {
                       beast::http::async_read(stream_, buffer_, parser,
                                               count_bytes(done));
                   });
    }

    template <typename Done>
    auto count_bytes(Done done)
    {
        return [this, done](error_code ec, std::size_t n)
        {
            counter_.bytes += n;
            done(ec);
        };
    }

    template <typename Start>
    bool run(deadline limit, Start&& start)
    {
        bool ok = false;
        io_.restart();
        lowest_layer().expires_at(limit);
        start(
            [&ok](error_code ec)
            {
                ok = !ec;
            });
        io_.run();
        return ok;
    }

    traffic& counter_;
    asio::io_context io_{1};
    Stream stream_;
    beast::flat_buffer buffer_;
};

} // namespace

std::unique_ptr<connection> make_plain_connection(traffic& counter)
{
    return std::make_unique<stream_connection<plain_stream>>(counter);
}

std::unique_ptr<connection> make_tls_connection(traffic& counter,
                                                asio::ssl::context& context)
{
    return std::make_unique<stream_connection<tls_stream>>(counter, context);
}

} // namespace mustardwick::http
