#include "mustardwick/http/server.hpp"

#include <atomic>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/ssl.hpp>
#include <openssl/ssl.h>

#include "mustardwick/base/error.hpp"
#include "session.hpp"

namespace mustardwick::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using plain_stream = beast::tcp_stream;
using tls_stream = beast::ssl_stream<beast::tcp_stream>;

namespace
{

constexpr int io_threads = 2;
constexpr std::chrono::milliseconds stop_poll_interval{5};
/// Delay after a failed accept: without free file descriptors, an immediate
/// retry would fail again and keep the thread busy.
constexpr std::chrono::milliseconds accept_retry_delay{100};

} // namespace

struct server::impl : std::enable_shared_from_this<impl>
{
    impl(server_options o, handler h, base::metrics& m)
        : options(std::move(o)), handle(std::move(h)), metrics(m),
          pool(static_cast<std::size_t>(options.handler_threads))
    {
    }

    bool load_tls();
    bool open();
    void accept_next();
    void accept_later();
    void start_session(tcp::socket socket);
    void start_threads();

    server_options options;
    handler handle;
    base::metrics& metrics;
    asio::io_context io{io_threads};
    asio::executor_work_guard<asio::io_context::executor_type> work{
        io.get_executor()};
    asio::ssl::context tls{asio::ssl::context::tls_server};
    bool uses_tls = false;
    tcp::acceptor acceptor{asio::make_strand(io)};
    asio::steady_timer accept_timer{acceptor.get_executor()};
    asio::thread_pool pool;
    std::vector<std::thread> threads;
    wire::open_sessions sessions;
    std::atomic<int> connections{0};
    std::atomic<int> waiting_requests{0};
    /// Requests in progress: from their first byte until the response is sent.
    std::atomic<int> unanswered_requests{0};
    std::atomic<std::uint64_t> buffered_bytes{0};
    std::atomic<bool> stopping{false};
    std::atomic<std::uint16_t> bound_port{0};
};

bool server::impl::load_tls()
{
    uses_tls = !options.tls.certificate.empty();
    if (!uses_tls)
        return true;
    error_code ec;
    SSL_CTX_set_min_proto_version(tls.native_handle(), TLS1_2_VERSION);
    tls.use_certificate_chain_file(options.tls.certificate, ec);
    if (!ec)
        tls.use_private_key_file(options.tls.private_key,
                                 asio::ssl::context::pem, ec);
    if (!ec)
        return true;
    base::fail(base::error_kind::invalid_input,
               "cannot load the TLS certificate or key: " + ec.message(),
               "check http.tls.certificate and http.tls.private_key");
    return false;
}

bool server::impl::open()
{
    error_code ec;
    const auto address = asio::ip::make_address(options.listen.address, ec);
    const tcp::endpoint where(address, options.listen.port);
    if (!ec)
        acceptor.open(where.protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(where, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (!ec)
    {
        bound_port = acceptor.local_endpoint().port();
        return true;
    }
    base::fail(base::error_kind::unavailable,
               "cannot listen on " + wire::to_string(options.listen) + ": " +
                   ec.message(),
               "choose a free address in http.listen");
    return false;
}

void server::impl::start_session(tcp::socket socket)
{
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    plain_stream stream(std::move(socket));
    if (!uses_tls)
    {
        const auto new_session = std::make_shared<session<plain_stream, impl>>(
            std::move(stream), shared_from_this());
        if (sessions.add(new_session))
            new_session->wait_for_request();
        return;
    }
    const auto new_session = std::make_shared<session<tls_stream, impl>>(
        tls_stream(std::move(stream), tls), shared_from_this());
    if (!sessions.add(new_session))
        return;
    beast::get_lowest_layer(new_session->stream())
        .expires_after(options.read_timeout);
    new_session->stream().async_handshake(
        asio::ssl::stream_base::server,
        [new_session](error_code e)
        {
            if (!e)
                new_session->wait_for_request();
        });
}

void server::impl::accept_next()
{
    acceptor.async_accept(
        asio::make_strand(io),
        [self = shared_from_this()](error_code ec, tcp::socket socket)
        {
            if (!self->acceptor.is_open())
                return;
            if (ec)
                return self->accept_later();
            if (self->connections < self->options.max_connections)
                self->start_session(std::move(socket));
            else
                self->metrics.add("mustardwick_http_connections_refused_total");
            self->accept_next();
        });
}

void server::impl::accept_later()
{
    accept_timer.expires_after(accept_retry_delay);
    accept_timer.async_wait(
        [self = shared_from_this()](error_code ec)
        {
            if (!ec && self->acceptor.is_open())
                self->accept_next();
        });
}

void server::impl::start_threads()
{
    for (int n = 0; n < io_threads; ++n)
        threads.emplace_back(
            [self = shared_from_this()]
            {
                self->io.run();
            });
}

server::server(server_options options, handler handle, base::metrics& metrics)
    : impl_(std::make_shared<impl>(std::move(options), std::move(handle),
                                   metrics))
{
}

server::~server()
{
    stop(std::chrono::milliseconds{0});
}

bool server::start()
{
    if (!impl_->load_tls() || !impl_->open())
        return false;
    impl_->accept_next();
    impl_->start_threads();
    return true;
}

bool server::stop(std::chrono::milliseconds grace)
{
    if (impl_->threads.empty())
        return true;
    impl_->stopping = true;
    asio::post(impl_->acceptor.get_executor(),
               [self = impl_]
               {
                   error_code ec;
                   self->acceptor.close(ec);
                   self->accept_timer.cancel();
               });
    const auto deadline = std::chrono::steady_clock::now() + grace;
    while (impl_->unanswered_requests > 0 &&
           std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(stop_poll_interval);
    const bool answered = impl_->unanswered_requests == 0;
    impl_->sessions.abort_all();
    if (!answered)
        impl_->pool.stop();
    impl_->pool.join();
    impl_->work.reset();
    for (auto& it : impl_->threads)
        it.join();
    impl_->threads.clear();
    return answered;
}

std::uint16_t server::port() const
{
    return impl_->bound_port;
}

} // namespace mustardwick::http
