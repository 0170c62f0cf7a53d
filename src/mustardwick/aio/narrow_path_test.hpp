#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <ratio>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::aio::test
{

/// Properties of a path between a server and its clients.
struct path_limits
{
    std::size_t bytes_per_second = 0;
    /// The path goes silent after so many bytes, without closing connections.
    std::optional<std::size_t> max_bytes;
    /// Limit on what all clients together send to the server; 0 for none.
    std::size_t up_bytes_per_second = 0;
    /// The first connection goes silent after a client has sent so many bytes.
    std::optional<std::size_t> max_up_bytes_of_first = std::nullopt;
};

/// A port whose connections lead to a server over a narrow path. What the
/// server sends is limited for each connection, what clients send for all
/// together.
class narrow_path
{
public:
    narrow_path(boost::asio::io_context& io, const wire::endpoint& here,
                const wire::endpoint& server, path_limits limits)
        : io_(io), acceptor_(io, address_of(here)), server_(address_of(server)),
          limits_(limits)
    {
        // A large buffer would take a request off a client at once.
        acceptor_.set_option(
            boost::asio::socket_base::receive_buffer_size(receive_buffer));
        accept();
    }

    /// Returns the bytes that clients have sent to the server.
    std::size_t passed_up() const
    {
        return passed_up_;
    }

    /// From now on nothing passes, and no connection is closed.
    void go_silent()
    {
        limits_.max_bytes = passed_;
    }

private:
    using tcp = boost::asio::ip::tcp;
    using error_code = boost::system::error_code;
    static constexpr std::chrono::milliseconds step{10};
    static constexpr std::size_t max_buffer_bytes = 4096;
    static constexpr int receive_buffer = 16 << 10;

    struct pipe
    {
        pipe(tcp::socket input, boost::asio::io_context& io)
            : client(std::move(input)), server(io), timer(io)
        {
        }

        tcp::socket client;
        tcp::socket server;
        boost::asio::steady_timer timer;
        std::optional<std::size_t> max_up_bytes;
        std::size_t up_bytes = 0;
        std::array<char, max_buffer_bytes> up{};
        std::array<char, max_buffer_bytes> down{};
    };

    static tcp::endpoint address_of(const wire::endpoint& it)
    {
        return {boost::asio::ip::make_address(it.address), it.port};
    }

    void accept()
    {
        acceptor_.async_accept(
            [this](error_code ec, tcp::socket socket)
            {
                if (ec)
                    return;
                const auto it = std::make_shared<pipe>(std::move(socket), io_);
                it->max_up_bytes =
                    std::exchange(limits_.max_up_bytes_of_first, std::nullopt);
                it->server.connect(server_, ec);
                if (!ec)
                {
                    send_up(it);
                    send_down(it);
                }
                accept();
            });
    }

    void send_up(const std::shared_ptr<pipe>& it)
    {
        it->client.async_read_some(
            boost::asio::buffer(it->up),
            [this, it](error_code ec, std::size_t n)
            {
                passed_up_ += n;
                it->up_bytes += n;
                if (it->max_up_bytes && it->up_bytes > *it->max_up_bytes)
                    return;
                if (!ec)
                    boost::asio::write(it->server,
                                       boost::asio::buffer(it->up, n), ec);
                if (!ec)
                    return send_up_later(it, n);
                it->server.close(ec);
            });
    }

    void send_up_later(const std::shared_ptr<pipe>& it, std::size_t n)
    {
        if (limits_.up_bytes_per_second == 0)
            return send_up(it);
        const std::chrono::nanoseconds took(std::nano::den * n /
                                            limits_.up_bytes_per_second);
        up_free_ = std::max(up_free_, std::chrono::steady_clock::now()) + took;
        const auto timer =
            std::make_shared<boost::asio::steady_timer>(io_, up_free_);
        timer->async_wait(
            [this, it, timer](error_code)
            {
                send_up(it);
            });
    }

    void send_down(const std::shared_ptr<pipe>& it)
    {
        const std::size_t quantum =
            limits_.bytes_per_second / (std::chrono::seconds(1) / step);
        it->timer.expires_after(step);
        it->timer.async_wait(
            [this, it, quantum](error_code)
            {
                auto n = std::min(quantum, max_buffer_bytes);
                if (limits_.max_bytes)
                    n = std::min(n, *limits_.max_bytes - passed_);
                if (n == 0)
                    return;
                it->server.async_read_some(
                    boost::asio::buffer(it->down, n),
                    [this, it](error_code ec, std::size_t received)
                    {
                        passed_ += received;
                        if (!ec)
                            boost::asio::write(
                                it->client,
                                boost::asio::buffer(it->down, received), ec);
                        if (!ec)
                            return send_down(it);
                        it->client.close(ec);
                    });
            });
    }

    boost::asio::io_context& io_;
    tcp::acceptor acceptor_;
    tcp::endpoint server_;
    path_limits limits_;
    std::size_t passed_ = 0;
    std::size_t passed_up_ = 0;
    /// When the path has carried all that clients have sent.
    std::chrono::steady_clock::time_point up_free_;
};

} // namespace mustardwick::aio::test
