#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <poll.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace mustardwick::wire
{

/// A plain TCP connection on which a test sends and reads arbitrary bytes.
class raw_connection
{
public:
    using tcp = boost::asio::ip::tcp;

    explicit raw_connection(std::uint16_t port)
    {
        boost::system::error_code ec;
        socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port}, ec);
        open_ = !ec;
    }

    bool is_open() const
    {
        return open_;
    }

    /// Returns false when the peer has closed the connection.
    bool send(std::string_view bytes)
    {
        boost::system::error_code ec;
        boost::asio::write(socket_,
                           boost::asio::buffer(bytes.data(), bytes.size()), ec);
        return !ec;
    }

    void finish_sending()
    {
        boost::system::error_code ec;
        socket_.shutdown(tcp::socket::shutdown_send, ec);
    }

    /// Reads until the peer closes the connection, the given text has arrived
    /// or the time has passed.
    std::string read(std::string_view until = {},
                     std::chrono::milliseconds time = limit)
    {
        std::string out;
        const auto end = std::chrono::steady_clock::now() + time;
        while (until.empty() || out.find(until) == std::string::npos)
        {
            const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    end - std::chrono::steady_clock::now());
            if (left.count() <= 0 || !is_readable(left))
                break;
            char buf[16384];
            boost::system::error_code ec;
            const auto n = socket_.read_some(boost::asio::buffer(buf), ec);
            closed_ = static_cast<bool>(ec);
            if (ec)
                break;
            out.append(buf, n);
        }
        return out;
    }

    std::string read_exactly(std::size_t n)
    {
        std::string out(n, '\0');
        boost::system::error_code ec;
        boost::asio::read(socket_, boost::asio::buffer(out), ec);
        return out;
    }

    /// Returns whether the peer closes the connection within the given time.
    bool closes_within(std::chrono::milliseconds time)
    {
        read({}, time);
        return closed_;
    }

    static constexpr std::chrono::milliseconds limit{3000};

private:
    bool is_readable(std::chrono::milliseconds time)
    {
        pollfd entry{socket_.native_handle(), POLLIN, 0};
        return ::poll(&entry, 1, static_cast<int>(time.count())) > 0;
    }

    boost::asio::io_context io_;
    tcp::socket socket_{io_};
    bool open_ = false;
    bool closed_ = false;
};

} // namespace mustardwick::wire
