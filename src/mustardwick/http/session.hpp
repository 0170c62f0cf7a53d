#pragma once

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "conversion.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/http/message.hpp"
#include "mustardwick/wire/open_sessions.hpp"

namespace mustardwick::http
{

/// A server-side connection, which reads and answers one request at a time.
template <typename Stream, typename Owner>
class session : public wire::open_session,
                public std::enable_shared_from_this<session<Stream, Owner>>
{
public:
    using error_code = boost::system::error_code;

    session(Stream stream, std::shared_ptr<Owner> owner)
        : stream_(std::move(stream)), owner_(std::move(owner)),
          buffer_(owner_->options.max_header_bytes + read_chunk_bytes)
    {
        ++owner_->connections;
    }

    ~session() override
    {
        end_request();
        owner_->sessions.remove(this);
        --owner_->connections;
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    Stream& stream()
    {
        return stream_;
    }

    /// Waits for the first byte of a request, then reads the whole request.
    void wait_for_request()
    {
        if (buffer_.size() > 0)
            return read_header();
        lowest_layer().expires_after(owner_->options.idle_timeout);
        stream_.async_read_some(
            buffer_.prepare(first_read_bytes),
            [self = this->shared_from_this()](error_code ec, std::size_t n)
            {
                if (ec)
                    return self->close();
                self->buffer_.commit(n);
                self->read_header();
            });
    }

    void abort() override
    {
        boost::asio::post(stream_.get_executor(),
                          [self = this->shared_from_this()]
                          {
                              self->lowest_layer().close();
                          });
    }

private:
    static constexpr std::size_t first_read_bytes = 4096;
    static constexpr std::size_t read_chunk_bytes = 24U << 10U;
    /// Bodies up to this size do not count towards max_buffered_bytes.
    static constexpr std::uint64_t small_body_bytes = 4096;
    /// Limits on the input that is discarded after a request was rejected.
    static constexpr std::chrono::seconds drain_time{1};
    static constexpr std::size_t max_drained_bytes = 8U << 20U;

    auto& lowest_layer()
    {
        return boost::beast::get_lowest_layer(stream_);
    }

    void read_header()
    {
        begin_request();
        parser_.emplace();
        parser_->header_limit(owner_->options.max_header_bytes);
        parser_->body_limit(owner_->options.max_body_bytes);
        lowest_layer().expires_after(owner_->options.read_timeout);
        boost::beast::http::async_read_header(
            stream_, buffer_, *parser_,
            [self = this->shared_from_this()](error_code ec, std::size_t)
            {
                if (ec)
                    self->reject(ec);
                else
                    self->read_body();
            });
    }

    void read_body()
    {
        namespace field = boost::beast::http;
        const auto& message = parser_->get();
        const bool has_transfer_coding =
            message.count(field::field::transfer_encoding) > 0;
        // With another coding the end of the body is unknown, and the rest of
        // it would be parsed as the next request.
        if (has_transfer_coding && !parser_->chunked())
            return reject({base::error_kind::invalid_input,
                           "the transfer coding is not supported",
                           "send chunked or a Content-Length"});
        const auto length = parser_->content_length();
        if (!reserve(has_transfer_coding ? owner_->options.max_body_bytes
                                         : length.value_or(0)))
            return reject({base::error_kind::overloaded,
                           "too many large requests are being read",
                           "retry after a delay"});
        boost::beast::http::async_read(
            stream_, buffer_, *parser_,
            [self = this->shared_from_this()](error_code ec, std::size_t)
            {
                if (ec)
                    self->reject(ec);
                else
                    self->dispatch();
            });
    }

    void reject(error_code ec)
    {
        const auto reason = read_error(ec);
        if (reason)
            reject(*reason);
        else
            close();
    }

    /// Sends an error for a request that was not read completely, and closes.
    void reject(const base::error& reason)
    {
        owner_->metrics.add("mustardwick_http_refused_total");
        keep_alive_ = false;
        drain_before_close_ = true;
        send(error_response(reason));
    }

    void dispatch()
    {
        lowest_layer().expires_never();
        auto message = parser_->release();
        keep_alive_ = message.keep_alive() && !owner_->stopping;
        auto call = to_request(std::move(message));
        if (!call)
            return send(error_response(base::last_error()));
        if (owner_->waiting_requests >= owner_->options.max_waiting_requests)
        {
            owner_->metrics.add("mustardwick_http_overload_total");
            return send(error_response({base::error_kind::overloaded,
                                        "too many requests wait",
                                        "retry after a delay"}));
        }
        ++owner_->waiting_requests;
        boost::asio::post(
            owner_->pool,
            [self = this->shared_from_this(), call = std::move(*call)]
            {
                self->run_handler(call);
            });
    }

    void run_handler(const request& call)
    {
        --owner_->waiting_requests;
        auto answer = std::make_shared<response>(call_handler(call));
        boost::asio::post(stream_.get_executor(),
                          [self = this->shared_from_this(), answer]
                          {
                              self->send(std::move(*answer));
                          });
    }

    response call_handler(const request& call)
    {
        try
        {
            return owner_->handle(call);
        }
        catch (const std::exception& ex)
        {
            base::log_event(base::log_level::error, "http", "handler_failed",
                            {{"path", call.path}, {"reason", ex.what()}});
            return error_response({base::error_kind::internal,
                                   "the daemon failed to handle the request",
                                   "see the daemon's log"});
        }
    }

    void send(response&& value)
    {
        keep_alive_ = keep_alive_ && !owner_->stopping;
        output_ = to_wire(std::move(value), keep_alive_);
        lowest_layer().expires_after(owner_->options.read_timeout);
        boost::beast::http::async_write(
            stream_, output_,
            [self = this->shared_from_this()](error_code ec, std::size_t)
            {
                self->end_request();
                if (ec || !self->keep_alive_)
                    return self->close();
                self->wait_for_request();
            });
    }

    void begin_request()
    {
        if (!std::exchange(counted_as_unanswered_, true))
            ++owner_->unanswered_requests;
    }

    void end_request()
    {
        owner_->buffered_bytes -= std::exchange(reserved_bytes_, 0);
        if (std::exchange(counted_as_unanswered_, false))
            --owner_->unanswered_requests;
    }

    bool reserve(std::uint64_t bytes)
    {
        if (bytes <= small_body_bytes)
            return true;
        reserved_bytes_ = bytes;
        const auto total = owner_->buffered_bytes += bytes;
        return total <= owner_->options.max_buffered_bytes;
    }

    void close()
    {
        error_code ec;
        end_request();
        lowest_layer().socket().shutdown(
            boost::asio::ip::tcp::socket::shutdown_send, ec);
        if (ec || !drain_before_close_)
            return;
        lowest_layer().expires_after(drain_time);
        drain(max_drained_bytes);
    }

    // Closing a socket with unread input resets the connection, and the reset
    // can reach the client before the error response.
    void drain(std::size_t left)
    {
        lowest_layer().async_read_some(boost::asio::buffer(drain_buffer_),
                                       [self = this->shared_from_this(),
                                        left](error_code ec, std::size_t n)
                                       {
                                           if (!ec && n < left)
                                               self->drain(left - n);
                                       });
    }

    Stream stream_;
    std::shared_ptr<Owner> owner_;
    boost::beast::flat_buffer buffer_;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser_;
    wire_response output_;
    std::array<char, 4096> drain_buffer_{};
    std::uint64_t reserved_bytes_ = 0;
    bool keep_alive_ = true;
    bool counted_as_unanswered_ = false;
    bool drain_before_close_ = false;
};

} // namespace mustardwick::http
