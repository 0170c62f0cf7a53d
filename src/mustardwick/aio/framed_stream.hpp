#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

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
        read_length();
    }

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
        on_frame_ = nullptr;
        on_close_ = nullptr;
        boost::system::error_code ec;
        socket_.close(ec);
    }

private:
    void read_length()
    {
        boost::asio::async_read(socket_, boost::asio::buffer(length_),
                                [self = shared_from_this()](
                                    boost::system::error_code ec, std::size_t)
                                {
                                    if (ec)
                                        return self->close_with(ec);
                                    const auto n =
                                        wire::decode_length(self->length_);
                                    if (!n)
                                        return self->reject_frame();
                                    self->read_body(*n);
                                });
    }

    void read_body(std::size_t n)
    {
        body_.resize(n);
        boost::asio::async_read(socket_, boost::asio::buffer(body_),
                                [self = shared_from_this()](
                                    boost::system::error_code ec, std::size_t)
                                {
                                    if (ec)
                                        return self->close_with(ec);
                                    auto frame = wire::decode_frame(self->body_,
                                                                    self->key_);
                                    if (!frame)
                                        return self->reject_frame();
                                    // A copy, because the handler may close
                                    // this stream, which resets on_frame_.
                                    if (const auto handler = self->on_frame_)
                                        handler(std::move(*frame));
                                    if (self->socket_.is_open())
                                        self->read_length();
                                });
    }

    void reject_frame()
    {
        base::log_event(base::log_level::warning, "peers", "frame_refused",
                        {{"reason", base::last_error().text()}});
        close_with(boost::asio::error::invalid_argument);
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
    std::array<char, wire::length_bytes> length_{};
    std::string body_;
    std::deque<std::string> queue_;
    std::string batch_;
    std::size_t unsent_ = 0;
    bool writing_ = false;
};

} // namespace mustardwick::aio
