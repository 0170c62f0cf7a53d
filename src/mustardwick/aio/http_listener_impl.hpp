#pragma once

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "mustardwick/aio/http_listener.hpp"

namespace mustardwick::aio
{

/// A listener and its open connections.
struct http_listener::impl : std::enable_shared_from_this<impl>
{
    class session;

    impl(boost::asio::io_context& context, wire::endpoint where,
         std::string header, connection_guard& connections,
         request_handler handler)
        : io(context), address(std::move(where)),
          deadline_header(std::move(header)), guard(connections),
          handle(std::move(handler)), acceptor(context), accept_timer(context)
    {
    }

    void accepted(boost::asio::ip::tcp::socket socket);
    /// Closes the connection that has been idle for longest; returns false when
    /// none is idle.
    bool close_longest_idle();
    /// Refuses a new connection for which there is no place.
    void turn_away(boost::asio::ip::tcp::socket socket);
    /// Accepts the connections that wait to be accepted.
    void accept_established();

    boost::asio::io_context& io;
    wire::endpoint address;
    std::string deadline_header;
    connection_guard& guard;
    request_handler handle;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer accept_timer;
    listener_limits limits;
    std::set<std::shared_ptr<session>> sessions;
    std::size_t open_requests = 0;
    /// Open sessions that have no place and are only told so.
    std::size_t turned_away = 0;
    bool draining = false;
    /// Takes the input that sessions discard.
    std::array<char, 4096> discarded{};
};

/// A connection of a caller, which reads and answers one request at a time.
class http_listener::impl::session
    : public std::enable_shared_from_this<http_listener::impl::session>
{
public:
    session(std::shared_ptr<impl> owner, boost::asio::ip::tcp::socket socket)
        : owner_(std::move(owner)), stream_(std::move(socket))
    {
    }

    void start();
    /// Answers 503 without a request, and closes.
    void turn_away();
    void wait_for_request();

    bool is_busy() const
    {
        return busy_;
    }

    std::chrono::steady_clock::time_point idle_since() const
    {
        return idle_since_;
    }

    /// Returns whether the last answer was sent, and only input that is
    /// discarded can arrive.
    bool is_discarding() const
    {
        return is_discarding_;
    }

    bool is_turned_away() const
    {
        return is_turned_away_;
    }

    /// Returns whether no request is in progress, in the socket's buffer, or
    /// about to arrive on a new connection.
    bool is_idle();

    /// Closes a connection that its caller still had, and reports it.
    void close(std::string_view cause);

private:
    /// Returns whether bytes have arrived that no read has taken.
    bool has_unread_bytes();
    void set_timer(std::chrono::milliseconds time, void (session::*expired)());
    void stop_timer();
    void idle_expired();
    /// Gives up the request that is being received, except that bytes in the
    /// socket are read first.
    void receive_expired();
    void give_up();
    void report(std::string_view cause);
    /// Closes the connection when its caller has sent everything. Closing a
    /// socket with unread input resets the connection, and the reset can reach
    /// the caller before the answer.
    void close_behind_answer();
    void discard(std::size_t left);
    /// Ends the session, without a report.
    void end();
    void prepare_parser();
    void read_request();
    /// Reads in parts, so that the bytes held so far are counted.
    void read_part();

    /// Ends a request that is being received, to free its memory.
    void shed();
    void reject(boost::system::error_code ec);
    /// Answers a request that was not received completely, and closes.
    void refuse(int status,
                std::optional<std::chrono::milliseconds> retry_after);

    void serve();
    /// An unexpected error costs the request that caused it, not the process.
    /// The status leaves open whether the request took effect.
    void handle(incoming_request request);

    void answer(outgoing_response reply);
    void written(boost::system::error_code ec, bool last);

    std::shared_ptr<impl> owner_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser_;
    /// Ends the current wait for the caller: for a request, for the rest of
    /// one, or for the end of its input.
    std::optional<boost::asio::steady_timer> timer_;
    std::uint64_t timer_id_ = 0;
    boost::beast::http::response<boost::beast::http::string_body> response_;
    bool is_open_ = true;
    bool is_discarding_ = false;
    bool is_turned_away_ = false;
    /// The request was answered before it was received in full.
    bool is_refused_ = false;
    bool keep_alive_ = true;
    bool busy_ = false;
    bool answered_ = false;
    /// The request that is being received is refused to free its memory.
    bool is_shed_ = false;
    /// The time to receive the request has ended.
    bool is_late_ = false;
    bool is_timed_out_ = false;
    connection_guard::connection_id guard_id_ = 0;
    /// A request was received.
    bool served_ = false;
    std::chrono::steady_clock::time_point accepted_ =
        std::chrono::steady_clock::now();
    std::chrono::steady_clock::time_point idle_since_ = accepted_;
};

} // namespace mustardwick::aio
