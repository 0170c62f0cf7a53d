#pragma once

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "mustardwick/aio/connection_guard.hpp"
#include "mustardwick/base/error.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/wire/frame.hpp"

namespace mustardwick::aio
{

/// @brief A connection that sends and receives authenticated frames.
class framed_stream : public std::enable_shared_from_this<framed_stream>
{
public:
    using frame_handler = std::function<void(wire::frame)>;
    using close_handler = std::function<void(boost::system::error_code)>;

    framed_stream(boost::asio::ip::tcp::socket socket, std::string key)
        : socket_(std::move(socket)), key_(std::move(key))
    {
    }

    /// @brief Starts reading. on_close runs once when the connection fails, and
    /// never after close().
    void run(frame_handler on_frame, close_handler on_close)
    {
        on_frame_ = std::move(on_frame);
        on_close_ = std::move(on_close);
        read();
    }

    /// @brief Treats the peer as unknown until its first frame arrives: frames
    /// are short and what it has sent counts towards the guard's limit.
    void require_authentication(connection_guard& guard)
    {
        is_authenticated_ = false;
        guard_ = &guard;
        guard_id_ = guard.add(
            [weak = weak_from_this()]
            {
                if (const auto self = weak.lock())
                    self->is_shed_ = true;
            });
    }

    /// Returns when bytes arrived last; at first, when the stream was made.
    std::chrono::steady_clock::time_point last_received() const
    {
        return last_received_;
    }

    bool is_authenticated() const
    {
        return is_authenticated_;
    }

    /// Limit on the first frame of an unknown peer; calls about jobs take up to
    /// 40,000 bytes.
    static constexpr std::size_t max_first_frame_bytes = 64U << 10U;

    /// Limit on the bytes that are queued or being written, for a peer that
    /// does not read.
    static constexpr std::size_t max_unsent_bytes = 8U << 20U;

    /// @brief Queues a frame; closes the connection when too many bytes are
    /// queued.
    void send(const wire::frame& frame)
    {
        auto body = wire::encode_frame(frame, key_);
        auto bytes = wire::encode_length(body.size()) + body;
        unsent_ += bytes.size();
        if (unsent_ > max_unsent_bytes)
            return close_with(boost::asio::error::no_buffer_space);
        queue_.push_back(std::move(bytes));
        if (!writing_)
            write_next();
    }

    void close()
    {
        forget_guard();
        on_frame_ = nullptr;
        on_close_ = nullptr;
        boost::system::error_code ec;
        socket_.close(ec);
    }

private:
    /// Reads whatever has arrived. A read that does not fill the buffer shows
    /// that the socket is drained, so that the next one waits without trying.
    void read()
    {
        socket_.async_read_some(
            boost::asio::buffer(buffer_),
            [self = shared_from_this()](boost::system::error_code ec,
                                        std::size_t n)
            {
                if (ec)
                    return self->close_with(ec);
                self->last_received_ = std::chrono::steady_clock::now();
                self->received_.append(self->buffer_.data(), n);
                if (!self->handle_frames() || !self->socket_.is_open())
                    return;
                if (self->guard_ != nullptr)
                    self->guard_->hold(self->guard_id_,
                                       self->received_.capacity());
                if (self->is_shed_)
                    return self->close_with(
                        boost::asio::error::no_buffer_space);
                self->read();
            });
    }

    /// Handles all complete frames; returns false once the stream is closed.
    bool handle_frames()
    {
        std::size_t at = 0;
        while (received_.size() - at >= wire::length_bytes)
        {
            const auto n = wire::decode_length(
                std::span(received_).subspan(at, wire::length_bytes));
            if (!n)
                return reject_frame();
            if (!is_authenticated_ && *n > max_first_frame_bytes)
            {
                base::fail(base::error_kind::too_large,
                           "the first frame of a connection is too long",
                           "check that the sender is a mustardwick daemon");
                return reject_frame();
            }
            if (received_.size() - at - wire::length_bytes < *n)
                break;
            const auto body =
                std::string_view(received_).substr(at + wire::length_bytes, *n);
            auto frame = wire::decode_frame(body, key_);
            if (!frame)
                return reject_frame();
            at += wire::length_bytes + *n;
            is_authenticated_ = true;
            forget_guard();
            // A copy, because the handler may close this stream, which resets
            // on_frame_.
            const auto handler = on_frame_;
            if (!handler)
                return false;
            if (!run_handler(handler, std::move(*frame)))
                return false;
        }
        received_.erase(0, at);
        return true;
    }

    /// An unexpected error costs the connection of the peer whose message
    /// caused it, not the process.
    bool run_handler(const frame_handler& handler, wire::frame frame)
    {
        const auto type = int(frame.type);
        try
        {
            handler(std::move(frame));
            return true;
        }
        catch (const std::exception& ex)
        {
            base::log_event(base::log_level::error, "peers", "handler_failed",
                            {{"type", type}, {"reason", ex.what()}});
        }
        close_with(boost::asio::error::invalid_argument);
        return false;
    }

    bool reject_frame()
    {
        base::log_event(base::log_level::warning, "peers", "frame_refused",
                        {{"reason", base::last_error().text()}});
        close_with(boost::asio::error::invalid_argument);
        return false;
    }

    void forget_guard()
    {
        if (guard_ != nullptr)
            std::exchange(guard_, nullptr)->remove(guard_id_);
    }

    void write_next()
    {
        writing_ = true;
        batch_.clear();
        for (const auto& it : queue_)
            batch_ += it;
        queue_.clear();
        boost::asio::async_write(
            socket_, boost::asio::buffer(batch_),
            [self = shared_from_this()](boost::system::error_code ec,
                                        std::size_t n)
            {
                self->writing_ = false;
                self->unsent_ -= std::min(self->unsent_, n);
                if (ec)
                    return self->close_with(ec);
                if (!self->queue_.empty())
                    self->write_next();
            });
    }

    void close_with(boost::system::error_code ec)
    {
        const auto handler = std::move(on_close_);
        close();
        if (handler)
            handler(ec);
    }

    boost::asio::ip::tcp::socket socket_;
    std::string key_;
    frame_handler on_frame_;
    close_handler on_close_;
    static constexpr std::size_t read_bytes = 8192;

    std::array<char, read_bytes> buffer_{};
    /// Bytes that were received and not handled yet.
    std::string received_;
    std::deque<std::string> queue_;
    std::string batch_;
    std::size_t unsent_ = 0;
    std::chrono::steady_clock::time_point last_received_ =
        std::chrono::steady_clock::now();
    bool writing_ = false;
    bool is_authenticated_ = true;
    bool is_shed_ = false;
    connection_guard* guard_ = nullptr;
    connection_guard::connection_id guard_id_ = 0;
};

} // namespace mustardwick::aio
