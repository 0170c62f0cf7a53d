#include "mustardwick/aio/http_listener.hpp"

#include <charconv>
#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "mustardwick/aio/acceptor.hpp"
#include "mustardwick/aio/socket_options.hpp"
#include "mustardwick/base/log.hpp"

namespace mustardwick::aio
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Timeout for writing an answer to the client.
constexpr milliseconds write_timeout{5000};
/// Time in which the first request of a new connection arrives.
constexpr milliseconds first_request_delay{300};
/// Bytes beyond the header that are buffered while a request is parsed. With
/// the header it bounds what a client can send between the parts of a body,
/// such as chunk extensions and trailers.
constexpr std::size_t read_ahead_bytes = 16U << 10U;
constexpr milliseconds shed_retry_after{1000};

std::string text_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::optional<milliseconds> parse_milliseconds(boost::beast::string_view text)
{
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end ||
        value <= 0)
        return std::nullopt;
    return milliseconds(value);
}

/// How a request that cannot be read is answered and counted.
struct refusal
{
    int status;
    std::string_view cause;
};

refusal refusal_of(error_code ec)
{
    if (ec == http::error::body_limit)
        return {413, "body too large"};
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return {431, "header too large"};
    return {400, "malformed request"};
}

/// Returns whether a read failed because the connection was closed or timed
/// out, so that no error response is sent.
bool is_connection_lost(error_code ec)
{
    return ec == http::error::end_of_stream || ec == asio::error::eof ||
           ec == asio::error::connection_reset ||
           ec == asio::error::operation_aborted || ec == beast::error::timeout;
}

} // namespace

struct http_listener::impl : std::enable_shared_from_this<impl>
{
    class session;

    impl(asio::io_context& context, wire::endpoint where, std::string header,
         connection_guard& connections, request_handler handler)
        : io(context), address(std::move(where)),
          deadline_header(std::move(header)), guard(connections),
          handle(std::move(handler)), acceptor(context), accept_timer(context)
    {
    }

    void accepted(asio::ip::tcp::socket socket);
    /// Closes the connection that has been idle for longest; returns false when
    /// none is idle.
    bool close_longest_idle();
    /// Accepts the connections that wait to be accepted.
    void accept_established();

    asio::io_context& io;
    wire::endpoint address;
    std::string deadline_header;
    connection_guard& guard;
    request_handler handle;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer accept_timer;
    listener_limits limits;
    std::set<std::shared_ptr<session>> sessions;
    std::size_t open_requests = 0;
    bool draining = false;
};

class http_listener::impl::session
    : public std::enable_shared_from_this<http_listener::impl::session>
{
public:
    session(std::shared_ptr<impl> owner, asio::ip::tcp::socket socket)
        : owner_(std::move(owner)), stream_(std::move(socket))
    {
    }

    void start()
    {
        guard_id_ = owner_->guard.add(
            [weak = weak_from_this()]
            {
                if (const auto self = weak.lock())
                    self->shed();
            });
        wait_for_request();
    }

    void wait_for_request()
    {
        busy_ = false;
        idle_since_ = steady::now();
        prepare_parser();
        stream_.expires_after(owner_->limits.idle_timeout);
        // header_timeout limits the time from the first byte of a request to
        // its end. Until that byte, idle_timeout applies.
        stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                    [self = shared_from_this()](error_code ec)
                                    {
                                        if (ec)
                                            return self->close();
                                        self->read_request();
                                    });
        arm_idle_timer();
    }

    bool is_busy() const
    {
        return busy_;
    }

    steady::time_point idle_since() const
    {
        return idle_since_;
    }

    /// Returns whether no request is in progress, in the socket's buffer, or
    /// about to arrive on a new connection.
    bool is_idle()
    {
        error_code ec;
        const bool is_new =
            !served_ && steady::now() - accepted_ < first_request_delay;
        return !busy_ && !is_new && stream_.socket().available(ec) == 0;
    }

    void close()
    {
        owner_->guard.remove(guard_id_);
        idle_timer_.reset();
        error_code ignored;
        stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_both,
                                  ignored);
        stream_.socket().close(ignored);
        owner_->sessions.erase(shared_from_this());
    }

private:
    void arm_idle_timer()
    {
        idle_timer_.emplace(owner_->io, owner_->limits.idle_timeout);
        idle_timer_->async_wait(
            [weak = weak_from_this()](error_code ec)
            {
                const auto self = weak.lock();
                if (!ec && self && !self->busy_)
                    self->close();
            });
    }

    void prepare_parser()
    {
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(owner_->limits.max_header_bytes);
        parser_->body_limit(owner_->limits.max_body_bytes);
        buffer_.max_size(owner_->limits.max_header_bytes + read_ahead_bytes);
    }

    void read_request()
    {
        idle_timer_.reset();
        busy_ = true;
        stream_.expires_after(owner_->limits.header_timeout);
        read_part();
    }

    /// Reads in parts, so that the bytes held so far are counted.
    void read_part()
    {
        http::async_read_some(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](error_code ec, std::size_t)
            {
                if (self->is_shed_)
                    return self->refuse(503, shed_retry_after);
                if (ec)
                    return self->reject(ec);
                if (self->parser_->is_done())
                    return self->serve();
                self->owner_->guard.hold(
                    self->guard_id_,
                    self->buffer_.capacity() +
                        self->parser_->get().body().capacity());
                // The guard may have shed this connection.
                if (self->is_shed_)
                    return self->refuse(503, shed_retry_after);
                self->read_part();
            });
    }

    /// Ends a request that is being received, to free its memory.
    void shed()
    {
        owner_->guard.refused("listener", "connection memory");
        is_shed_ = true;
        stream_.cancel();
    }

    void reject(error_code ec)
    {
        if (is_connection_lost(ec))
            return close();
        const auto [status, cause] = refusal_of(ec);
        owner_->guard.refused("listener", cause);
        refuse(status, std::nullopt);
    }

    /// Answers a request that was not received completely, and closes.
    void refuse(int status, std::optional<milliseconds> retry_after)
    {
        parser_.emplace();
        buffer_.clear();
        buffer_.shrink_to_fit();
        keep_alive_ = false;
        ++owner_->open_requests;
        answered_ = false;
        answer({status, "{}", "application/json", retry_after});
    }

    void serve()
    {
        stream_.expires_never();
        owner_->guard.hold(guard_id_, 0);
        auto& message = parser_->get();
        keep_alive_ = message.keep_alive();
        incoming_request out;
        out.method = text_of(message.method_string());
        out.target = text_of(message.target());
        out.host = text_of(message[http::field::host]);
        out.authorization = text_of(message[http::field::authorization]);
        out.deadline = parse_milliseconds(message[owner_->deadline_header]);
        out.body = std::move(message.body());
        out.received = steady::now();
        ++owner_->open_requests;
        answered_ = false;
        served_ = true;
        handle(std::move(out));
    }

    /// An unexpected error costs the request that caused it, not the process.
    /// The status leaves open whether the request took effect.
    void handle(incoming_request request)
    {
        const auto target = request.target;
        try
        {
            owner_->handle(std::move(request),
                           [self = shared_from_this()](outgoing_response reply)
                           {
                               self->answer(std::move(reply));
                           });
        }
        catch (const std::exception& ex)
        {
            base::log_event(base::log_level::error, "listener",
                            "handler_failed",
                            {{"target", target}, {"reason", ex.what()}});
            keep_alive_ = false;
            if (!answered_)
                answer({500, "{}", "application/json", {}});
        }
    }

    void answer(outgoing_response reply)
    {
        if (!busy_ || std::exchange(answered_, true))
            return;
        const bool last = owner_->draining || !keep_alive_;
        response_ = {};
        response_.version(11);
        response_.result(static_cast<unsigned>(reply.status));
        response_.set(http::field::content_type, reply.content_type);
        if (reply.retry_after)
        {
            // The header has whole seconds; rounding up avoids an early retry.
            const auto seconds =
                std::chrono::ceil<std::chrono::seconds>(*reply.retry_after);
            response_.set(http::field::retry_after,
                          std::to_string(seconds.count()));
        }
        response_.body() = std::move(reply.body);
        response_.keep_alive(!last);
        response_.prepare_payload();
        stream_.expires_after(write_timeout);
        http::async_write(
            stream_, response_,
            [self = shared_from_this(), last](error_code ec, std::size_t)
            {
                self->written(ec, last);
            });
    }

    void written(error_code ec, bool last)
    {
        --owner_->open_requests;
        busy_ = false;
        if (ec || last)
            return close();
        if (buffer_.size() > 0)
        {
            prepare_parser();
            return read_request();
        }
        wait_for_request();
    }

    std::shared_ptr<impl> owner_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<asio::steady_timer> idle_timer_;
    http::response<http::string_body> response_;
    bool keep_alive_ = true;
    bool busy_ = false;
    bool answered_ = false;
    /// The request that is being received is refused to free its memory.
    bool is_shed_ = false;
    connection_guard::connection_id guard_id_ = 0;
    /// A request was received.
    bool served_ = false;
    steady::time_point accepted_ = steady::now();
    steady::time_point idle_since_ = accepted_;
};

bool http_listener::impl::close_longest_idle()
{
    // The socket is asked only of one connection: a crowd of them would cost a
    // system call for each connection that another client opens.
    std::shared_ptr<session> longest;
    for (const auto& it : sessions)
        if (!it->is_busy() &&
            (!longest || it->idle_since() < longest->idle_since()))
            longest = it;
    if (!longest || !longest->is_idle())
        return false;
    longest->close();
    return true;
}

void http_listener::impl::accepted(asio::ip::tcp::socket socket)
{
    if (sessions.size() >= limits.max_connections)
    {
        guard.refused("listener", "too many connections");
        if (!close_longest_idle())
            return;
    }
    set_low_latency(socket);
    auto it = std::make_shared<session>(shared_from_this(), std::move(socket));
    sessions.insert(it);
    it->start();
}

void http_listener::impl::accept_established()
{
    error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec)
    {
        asio::ip::tcp::socket socket(io);
        acceptor.accept(socket, ec);
        if (!ec)
            accepted(std::move(socket));
    }
}

http_listener::http_listener(asio::io_context& io, wire::endpoint address,
                             std::string deadline_header,
                             connection_guard& guard, request_handler handle)
    : impl_(std::make_shared<impl>(io, std::move(address),
                                   std::move(deadline_header), guard,
                                   std::move(handle)))
{
}

http_listener::~http_listener()
{
    error_code ec;
    impl_->acceptor.close(ec);
    impl_->accept_timer.cancel();
    const auto sessions = impl_->sessions;
    for (const auto& it : sessions)
        if (!it->is_busy())
            it->close();
}

bool http_listener::start()
{
    if (!open_acceptor(impl_->acceptor, impl_->address))
        return false;
    accept_connections(impl_, "listener");
    return true;
}

void http_listener::set_limits(const listener_limits& limits)
{
    impl_->limits = limits;
}

void http_listener::begin_drain()
{
    impl_->draining = true;
}

void http_listener::close_idle()
{
    error_code ec;
    if (impl_->acceptor.is_open())
        impl_->accept_established();
    impl_->acceptor.close(ec);
    const auto sessions = impl_->sessions;
    for (const auto& it : sessions)
        if (it->is_idle())
            it->close();
}

bool http_listener::is_closed() const
{
    return impl_->sessions.empty();
}

std::size_t http_listener::open_requests() const
{
    return impl_->open_requests;
}

} // namespace mustardwick::aio
