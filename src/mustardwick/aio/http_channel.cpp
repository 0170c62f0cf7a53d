#include "mustardwick/aio/http_channel.hpp"

#include <algorithm>
#include <cerrno>
#include <optional>
#include <utility>

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "mustardwick/aio/socket_options.hpp"

namespace mustardwick::aio
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using steady = std::chrono::steady_clock;
using boost::system::error_code;

/// Limits what a peer can send between the parts of a body, such as chunk
/// extensions and trailers.
constexpr std::size_t max_read_buffer_bytes = 64U << 10U;

/// A request of this size may take longer to send than its answer to arrive.
constexpr std::size_t large_request_bytes = 16U << 10U;
/// Bytes of an answer that extend its deadline.
constexpr std::size_t min_part_bytes = 4096;
constexpr std::chrono::milliseconds sending_check_interval{25};

/// Returns the bytes in a socket's send buffer that the peer's host has not
/// acknowledged.
std::size_t unacknowledged_bytes(int fd)
{
    int n = 0;
    return ::ioctl(fd, TIOCOUTQ, &n) == 0 && n > 0 ? std::size_t(n) : 0;
}

/// Returns whether the peer has closed an idle connection or has sent bytes
/// outside of a call.
bool is_stale(int fd)
{
    char byte = 0;
    const auto n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

/// A connection that carries one call at a time.
class http_channel::connection
    : public std::enable_shared_from_this<http_channel::connection>
{
public:
    connection(std::shared_ptr<http_channel> owner)
        : owner_(std::move(owner)), stream_(owner_->io_),
          sending_timer_(owner_->io_)
    {
    }

    bool is_usable()
    {
        return stream_.socket().is_open() &&
               !is_stale(stream_.socket().native_handle());
    }

    void close()
    {
        error_code ec;
        stream_.socket().close(ec);
        owner_.reset();
    }

    /// Releases the channel, so that an idle connection does not keep it alive.
    void detach()
    {
        owner_.reset();
    }

    void run(std::shared_ptr<http_channel> owner, waiting_call next)
    {
        owner_ = std::move(owner);
        current_ = std::move(next);
        deadline_ = current_->queued + current_->call.timeout;
        if (stream_.socket().is_open())
            begin_call();
        else
            connect();
    }

    /// Returns whether a call may be sent over this connection.
    bool is_meant(const http_call& call) const
    {
        return !call.process || call.process == process_;
    }

    /// Returns whether a call is meant for a process that has ended, since the
    /// connection leads to a later one.
    bool is_too_late(const http_call& call) const
    {
        return call.process && process_ && *call.process < *process_;
    }

private:
    void identify()
    {
        identification_ = owner_->options_.identify();
        prepare(identification_->call);
        write();
    }

    void identified(const http_result& result, bool keep)
    {
        process_ = identification_->process_of(result);
        identification_.reset();
        const bool keeps = keep && is_usable();
        // The identification of another connection may have overtaken it.
        if (!process_ && !std::exchange(has_identified_again_, true))
            return keeps ? identify() : reconnect();
        if (!process_)
            return finish_failed(
                transport_outcome::not_sent,
                make_error_code(boost::system::errc::protocol_error));
        if (!is_meant(current_->call))
            return finish_unsent(keeps);
        is_verified_ = keeps;
        if (keeps)
            begin_call();
        else
            reconnect();
    }

    void reconnect()
    {
        error_code ignored;
        stream_.socket().close(ignored);
        buffer_.clear();
        connect();
    }

    void begin_call()
    {
        if (!is_meant(current_->call))
            return finish_unsent(true);
        prepare(current_->call);
        write();
    }

    void prepare(const http_call& call)
    {
        request_ = {};
        request_.version(11);
        request_.method_string(call.method);
        request_.target(call.target);
        request_.set(http::field::host, wire::to_string(owner_->peer_));
        for (const auto& [name, value] : call.headers)
            request_.set(name, value);
        if (!call.body.empty() || call.method == "POST")
        {
            request_.set(http::field::content_type, "application/json");
            request_.body() =
                call.make_body ? call.make_body(is_verified_) : call.body;
            request_.prepare_payload();
        }
    }

    void connect()
    {
        error_code ec;
        const auto address = asio::ip::make_address(owner_->peer_.address, ec);
        if (ec)
            return finish_failed(transport_outcome::not_sent, ec);
        ++owner_->connections_opened_;
        stream_.expires_at(std::min(
            deadline_, steady::now() + owner_->options_.connect_timeout));
        stream_.async_connect(
            asio::ip::tcp::endpoint(address, owner_->peer_.port),
            [self = shared_from_this()](error_code failed)
            {
                if (failed)
                    return self->finish_failed(transport_outcome::not_sent,
                                               failed);
                set_low_latency(self->stream_.socket());
                if (self->owner_->options_.identify && self->is_verified_)
                    self->identify();
                else
                    self->begin_call();
            });
    }

    void write()
    {
        serializer_.emplace(request_);
        written_ = 0;
        taken_ = 0;
        is_overdue_ = false;
        is_large_ = current_->call.stall_timeout &&
                    request_.body().size() >= large_request_bytes;
        if (is_large_)
            check_sending_later();
        write_part();
    }

    void write_part()
    {
        expect_by_deadline();
        http::async_write_some(
            stream_, *serializer_,
            [self = shared_from_this()](error_code ec, std::size_t n)
            {
                if (ec)
                    return self->finish_failed(transport_outcome::maybe_sent,
                                               ec);
                self->written_ += n;
                if (self->serializer_->is_done())
                    return self->read();
                self->write_part();
            });
    }

    /// The deadline of a large request moves while an operation is pending,
    /// which the stream's own timer cannot follow.
    void expect_by_deadline()
    {
        if (is_large_)
            stream_.expires_never();
        else
            stream_.expires_at(deadline_);
    }

    void check_sending_later()
    {
        sending_timer_.expires_after(sending_check_interval);
        sending_timer_.async_wait(
            [self = shared_from_this()](error_code ec)
            {
                if (!ec && self->current_ && self->is_large_)
                    self->check_sending();
            });
    }

    void check_sending()
    {
        const auto now = steady::now();
        const auto unsent =
            unacknowledged_bytes(stream_.socket().native_handle());
        const auto taken = written_ - std::min(written_, unsent);
        const bool is_taken = serializer_->is_done() && unsent == 0;
        if (taken > taken_)
        {
            taken_ = taken;
            deadline_ = now + current_->call.timeout;
            owner_->last_sent_part_ = is_taken ? steady::time_point() : now;
        }
        if (now < deadline_)
            return check_sending_later();
        is_overdue_ = true;
        stream_.cancel();
    }

    void stop_checking()
    {
        if (std::exchange(is_large_, false))
            owner_->last_sent_part_ = {};
        sending_timer_.cancel();
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(owner_->options_.max_body_bytes);
        parser_->eager(true);
        received_ = 0;
        is_first_part_ = true;
        read_part();
    }

    void read_part()
    {
        http::async_read_some(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](error_code ec, std::size_t n)
            {
                if (ec)
                    return self->finish_failed(transport_outcome::maybe_sent,
                                               ec);
                self->stop_checking();
                if (self->parser_->is_done())
                    return self->finish_answered();
                self->received_part(n);
                self->read_part();
            });
    }

    /// An answer that arrives more slowly is taken for one that does not
    /// arrive: another path may be faster.
    void received_part(std::size_t n)
    {
        received_ += n;
        const bool extends = is_first_part_ || received_ >= min_part_bytes;
        const auto now = steady::now();
        if (extends)
        {
            is_first_part_ = false;
            received_ = 0;
            owner_->last_part_ = now;
            if (const auto& stall_timeout = current_->call.stall_timeout)
                deadline_ = std::max(deadline_, now + *stall_timeout);
        }
        stream_.expires_at(deadline_);
    }

    void finish_failed(transport_outcome end, error_code ec)
    {
        const bool timed_out = ec == beast::error::timeout || is_overdue_;
        if (identification_)
            end = transport_outcome::not_sent;
        identification_.reset();
        stop_checking();
        error_code ignored;
        stream_.socket().close(ignored);
        auto owner = std::move(owner_);
        auto call = std::move(*current_);
        current_.reset();
        if (timed_out)
            owner->drop_idle();
        owner->released(shared_from_this(), false);
        if (timed_out)
            ec = beast::error::timeout;
        call.done({end, 0, {}, ec.message(), is_verified_});
    }

    /// The connection stays open for calls that are meant for its process,
    /// unless the peer closes it.
    void finish_unsent(bool keep)
    {
        stream_.expires_never();
        error_code ignored;
        if (!keep)
            stream_.socket().close(ignored);
        auto owner = std::move(owner_);
        auto call = std::move(*current_);
        current_.reset();
        owner->released(shared_from_this(), keep);
        owner->refuse(std::move(call.done));
    }

    void finish_answered()
    {
        http_result out;
        out.end = transport_outcome::answered;
        out.status = parser_->get().result_int();
        out.body = std::move(parser_->get().body());
        out.is_verified = is_verified_;
        const bool keep = parser_->keep_alive();
        if (identification_)
            return identified(out, keep);
        // The process of an unverified connection is not known.
        const bool is_reusable = keep && is_verified_;
        stream_.expires_never();
        auto owner = std::move(owner_);
        owner->last_part_ = {};
        auto call = std::move(*current_);
        current_.reset();
        if (!is_reusable)
        {
            error_code ignored;
            stream_.socket().close(ignored);
        }
        owner->released(shared_from_this(), is_reusable);
        call.done(std::move(out));
    }

    std::shared_ptr<http_channel> owner_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{max_read_buffer_bytes};
    http::request<http::string_body> request_;
    std::optional<http::request_serializer<http::string_body>> serializer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    std::optional<waiting_call> current_;
    steady::time_point deadline_;
    asio::steady_timer sending_timer_;
    /// Bytes of the answer since the deadline was extended.
    std::size_t received_ = 0;
    bool is_first_part_ = true;
    /// Bytes of the request that the kernel has.
    std::size_t written_ = 0;
    /// Bytes of it that the path has taken.
    std::size_t taken_ = 0;
    bool is_large_ = false;
    /// check_sending() has ended the call.
    bool is_overdue_ = false;
    /// Set while the call in flight is the one that identifies the peer.
    std::optional<identification> identification_;
    bool has_identified_again_ = false;
    /// Cleared when the peer has closed the connection after the
    /// identification; the next one is not identified.
    bool is_verified_ = true;
    /// The process that the connection leads to, if it was identified.
    std::optional<std::int64_t> process_;
};

http_channel::http_channel(asio::io_context& io, wire::endpoint peer,
                           channel_options options)
    : io_(io), peer_(std::move(peer)), options_(std::move(options))
{
}

http_channel::~http_channel() = default;

void http_channel::send(http_call call, http_callback done)
{
    waiting_call next{std::move(call), std::move(done), steady::now()};
    if (closed_)
    {
        asio::post(io_,
                   [cb = std::move(next.done)]
                   {
                       cb({transport_outcome::not_sent,
                           0,
                           {},
                           "the channel is closed"});
                   });
        return;
    }
    dispatch(std::move(next));
}

void http_channel::dispatch(waiting_call next)
{
    while (!idle_.empty())
    {
        auto it = std::move(idle_.back());
        idle_.pop_back();
        if (it->is_usable() && it->is_too_late(next.call))
        {
            idle_.push_back(std::move(it));
            return refuse(std::move(next.done));
        }
        // A connection that leads to another process is left over from a former
        // one.
        if (it->is_usable() && it->is_meant(next.call))
        {
            ++open_;
            it->run(shared_from_this(), std::move(next));
            return;
        }
        it->close();
    }
    if (open_ < options_.max_connections)
    {
        ++open_;
        auto it = std::make_shared<connection>(shared_from_this());
        it->run(shared_from_this(), std::move(next));
        return;
    }
    waiting_.push_back(std::move(next));
}

void http_channel::released(const std::shared_ptr<connection>& it,
                            bool reusable)
{
    --open_;
    if (reusable && !closed_)
    {
        it->detach();
        idle_.push_back(it);
    }
    const auto now = steady::now();
    while (!waiting_.empty())
    {
        auto next = std::move(waiting_.front());
        waiting_.pop_front();
        if (closed_ || next.queued + next.call.timeout <= now)
        {
            next.done(
                {transport_outcome::not_sent, 0, {}, "no connection was free"});
            continue;
        }
        dispatch(std::move(next));
        return;
    }
}

void http_channel::refuse(http_callback done)
{
    asio::post(io_,
               [done = std::move(done)]
               {
                   done({transport_outcome::other_process,
                         0,
                         {},
                         "another process has the address"});
               });
}

void http_channel::drop_idle()
{
    for (const auto& it : idle_)
        it->close();
    idle_.clear();
}

void http_channel::close()
{
    closed_ = true;
    drop_idle();
    auto waiting = std::move(waiting_);
    waiting_.clear();
    for (auto& it : waiting)
        it.done({transport_outcome::not_sent, 0, {}, "the channel is closed"});
}

} // namespace mustardwick::aio
