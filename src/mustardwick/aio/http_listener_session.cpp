#include "http_listener_impl.hpp"

#include <charconv>

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
constexpr milliseconds retry_delay{1000};
/// Time to read what has arrived when the time of a request ends.
constexpr milliseconds arrived_bytes_time{100};
/// Limits on the input that is discarded behind a last answer.
constexpr milliseconds discard_time{1000};
constexpr std::size_t max_discarded_bytes = 1U << 20U;

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

/// Returns whether a read failed because the connection was closed, so that no
/// error response is sent.
bool is_connection_lost(error_code ec)
{
    return ec == http::error::end_of_stream || ec == asio::error::eof ||
           ec == asio::error::connection_reset ||
           ec == asio::error::operation_aborted;
}

} // namespace

void http_listener::impl::session::start()
{
    guard_id_ = owner_->guard.add(
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
                self->shed();
        });
    wait_for_request();
}

void http_listener::impl::session::turn_away()
{
    is_turned_away_ = true;
    ++owner_->turned_away;
    busy_ = true;
    refuse(503, retry_delay);
}

void http_listener::impl::session::wait_for_request()
{
    busy_ = false;
    idle_since_ = steady::now();
    prepare_parser();
    // header_timeout limits the time from the first byte of a request to
    // its end. Until that byte, idle_timeout applies.
    stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                [self = shared_from_this()](error_code ec)
                                {
                                    if (ec)
                                        return self->end();
                                    self->read_request();
                                });
    set_timer(owner_->limits.idle_timeout, &session::idle_expired);
}

bool http_listener::impl::session::is_idle()
{
    const bool is_new =
        !served_ && steady::now() - accepted_ < first_request_delay;
    return !busy_ && !is_discarding_ && !is_new && !has_unread_bytes();
}

bool http_listener::impl::session::has_unread_bytes()
{
    error_code ec;
    return stream_.socket().available(ec) > 0;
}

void http_listener::impl::session::close(std::string_view cause)
{
    if (!is_open_)
        return;
    if (!is_discarding_)
        report(cause);
    end();
}

void http_listener::impl::session::report(std::string_view cause)
{
    error_code ec;
    const auto age =
        std::chrono::duration_cast<milliseconds>(steady::now() - accepted_);
    const auto unread = stream_.socket().available(ec);
    owner_->guard.closed(
        "listener", {cause, age, (ec ? 0 : unread) + buffer_.size(), busy_});
}

void http_listener::impl::session::end()
{
    if (std::exchange(is_open_, false) && is_turned_away_)
        --owner_->turned_away;
    busy_ = false;
    owner_->guard.remove(guard_id_);
    stop_timer();
    error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    stream_.socket().close(ignored);
    owner_->sessions.erase(shared_from_this());
}

void http_listener::impl::session::set_timer(milliseconds time,
                                             void (session::*expired)())
{
    stop_timer();
    timer_.emplace(owner_->io, time);
    timer_->async_wait(
        [weak = weak_from_this(), id = timer_id_, expired](error_code ec)
        {
            const auto self = weak.lock();
            if (!ec && self && self->timer_id_ == id)
                ((*self).*expired)();
        });
}

void http_listener::impl::session::stop_timer()
{
    // The handler of an expired timer may be queued already.
    ++timer_id_;
    timer_.reset();
}

void http_listener::impl::session::idle_expired()
{
    // With bytes in the socket, the wait for them is about to end.
    if (!has_unread_bytes())
        close("idle");
}

void http_listener::impl::session::receive_expired()
{
    if (!std::exchange(is_late_, true) && has_unread_bytes())
        return set_timer(arrived_bytes_time, &session::receive_expired);
    is_timed_out_ = true;
    stream_.cancel();
}

void http_listener::impl::session::prepare_parser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(owner_->limits.max_header_bytes);
    parser_->body_limit(owner_->limits.max_body_bytes);
    buffer_.max_size(owner_->limits.max_header_bytes + read_ahead_bytes);
}

void http_listener::impl::session::read_request()
{
    busy_ = true;
    is_late_ = false;
    stream_.expires_never();
    set_timer(owner_->limits.header_timeout, &session::receive_expired);
    read_part();
}

void http_listener::impl::session::read_part()
{
    http::async_read_some(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code ec, std::size_t)
        {
            if (self->is_shed_)
                return self->refuse(503, retry_delay);
            if (!ec && self->parser_->is_done())
                return self->serve();
            if (self->is_timed_out_)
                return self->give_up();
            if (ec)
                return self->reject(ec);
            self->owner_->guard.hold(
                self->guard_id_, self->buffer_.capacity() +
                                     self->parser_->get().body().capacity());
            // The guard may have shed this connection.
            if (self->is_shed_)
                return self->refuse(503, retry_delay);
            self->read_part();
        });
}

void http_listener::impl::session::shed()
{
    owner_->guard.refused("listener", "connection memory");
    is_shed_ = true;
    stream_.cancel();
}

void http_listener::impl::session::give_up()
{
    owner_->guard.refused("listener", "request timeout");
    refuse(503, retry_delay);
}

void http_listener::impl::session::reject(error_code ec)
{
    if (is_connection_lost(ec))
        return end();
    const auto [status, cause] = refusal_of(ec);
    owner_->guard.refused("listener", cause);
    refuse(status, std::nullopt);
}

void http_listener::impl::session::refuse(
    int status, std::optional<milliseconds> retry_after)
{
    stop_timer();
    parser_.emplace();
    buffer_.clear();
    buffer_.shrink_to_fit();
    keep_alive_ = false;
    is_refused_ = true;
    ++owner_->open_requests;
    answered_ = false;
    answer({status, "{}", "application/json", retry_after});
}

void http_listener::impl::session::serve()
{
    stop_timer();
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
    out.unread = time_since_last_data(stream_.socket());
    ++owner_->open_requests;
    answered_ = false;
    served_ = true;
    handle(std::move(out));
}

void http_listener::impl::session::handle(incoming_request request)
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
        base::log_event(base::log_level::error, "listener", "handler_failed",
                        {{"target", target}, {"reason", ex.what()}});
        keep_alive_ = false;
        if (!answered_)
            answer({500, "{}", "application/json", {}});
    }
}

void http_listener::impl::session::answer(outgoing_response reply)
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

void http_listener::impl::session::written(error_code ec, bool last)
{
    --owner_->open_requests;
    if (ec == beast::error::timeout)
        return close("answer timeout");
    busy_ = false;
    if (ec)
        return end();
    if (last)
        return close_behind_answer();
    if (buffer_.size() > 0)
    {
        prepare_parser();
        return read_request();
    }
    wait_for_request();
}

void http_listener::impl::session::close_behind_answer()
{
    if (!is_refused_)
        report(owner_->draining ? "stopping" : "last answer");
    if (!is_refused_ && buffer_.size() == 0 && !has_unread_bytes())
        return end();
    is_discarding_ = true;
    idle_since_ = steady::time_point::min();
    buffer_.clear();
    buffer_.shrink_to_fit();
    error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    set_timer(discard_time, &session::end);
    discard(max_discarded_bytes);
}

void http_listener::impl::session::discard(std::size_t left)
{
    stream_.socket().async_read_some(
        asio::buffer(owner_->discarded),
        [self = shared_from_this(), left](error_code ec, std::size_t n)
        {
            if (ec || n >= left)
                return self->end();
            self->discard(left - n);
        });
}

} // namespace mustardwick::aio
