#include "mustardwick/aio/http_listener.hpp"

#include <string>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/log.hpp"

using namespace mustardwick;
using namespace mustardwick::aio;
namespace asio = boost::asio;
using boost::system::error_code;
using namespace std::string_literals;
using std::chrono::milliseconds;

namespace
{

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A listener on its own event loop, and what it counts.
struct fixture
{
    fixture(std::uint16_t port, const listener_limits& limits)
        : where(asio::ip::make_address("127.0.0.1"), port),
          server(io, {"127.0.0.1", port}, "Deadline-Ms", guard,
                 [this](const auto& in, const auto& respond)
                 {
                     if (in.target == "/held")
                         return void(held.push_back(respond));
                     respond({200, "{}", "application/json", {}});
                 })
    {
        base::set_up_log("test", base::log_level::warning);
        server.set_limits(limits);
        cr_assert(server.start(), "%s", base::last_error().message.c_str());
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket out(client_io);
        out.connect(where);
        out.set_option(asio::ip::tcp::no_delay(true));
        return out;
    }

    void run_for(milliseconds time)
    {
        io.restart();
        io.run_for(time);
    }

    /// Returns what the connection receives until an answer is complete or the
    /// connection ends; ec is would_block while it is open.
    std::string received(asio::ip::tcp::socket& socket, error_code& ec)
    {
        std::string out;
        socket.non_blocking(true);
        for (int n = 0; n < max_waits && !out.ends_with("{}"); ++n)
        {
            run_for(milliseconds(5));
            asio::read(socket, asio::dynamic_buffer(out), ec);
            if (ec != asio::error::would_block)
                break;
        }
        socket.non_blocking(false);
        return out;
    }

    /// Sends a request and returns the start of the status line of its answer.
    std::string exchange(asio::ip::tcp::socket& socket)
    {
        error_code ec;
        asio::write(socket, asio::buffer(request));
        return received(socket, ec).substr(0, status_size);
    }

    static constexpr int max_waits = 200;
    /// Length of "HTTP/1.1 200".
    static constexpr std::size_t status_size = 12;

    /// Opens a connection with a request that is not answered.
    asio::ip::tcp::socket connect_held()
    {
        auto out = connect();
        asio::write(out,
                    asio::buffer("GET /held HTTP/1.1\r\nHost: h\r\n\r\n"s));
        for (int n = 0; n < max_waits && held.empty(); ++n)
            run_for(milliseconds(5));
        cr_assert_eq(held.size(), 1);
        return out;
    }

    /// Answers that request; returns the start of its status line.
    std::string answer_held(asio::ip::tcp::socket& socket)
    {
        error_code ec;
        held.front()({200, "{}", "application/json", {}});
        return received(socket, ec).substr(0, status_size);
    }

    base::system_clock clock;
    base::metrics metrics;
    connection_guard guard{clock, metrics, 64U << 20U};
    asio::io_context io;
    asio::io_context client_io;
    asio::ip::tcp::endpoint where;
    std::vector<responder> held;
    http_listener server;
};

} // namespace

struct idle_case
{
    const char* name;
    /// Requests that were answered on the connection before.
    int earlier;
    /// What arrives before the handler of the idle timeout runs, and after.
    std::string before;
    std::string after;
    std::uint16_t port;
};

// Guards against an idle timeout that closes a connection on which a request
// has arrived, while the event loop was held up.
Test(http_listener, serves_a_request_that_arrives_as_the_idle_timeout_ends)
{
    const idle_case cases[] = {
        {"kept connection", 1, request, "", 18'866},
        {"new connection", 0, request, "", 18'867},
        {"part of a request", 1, request.substr(0, 9), request.substr(9),
         18'868},
    };
    for (const auto& it : cases)
    {
        listener_limits limits;
        limits.idle_timeout = milliseconds(100);
        fixture test(it.port, limits);
        auto client = test.connect();
        test.run_for(milliseconds(10));
        for (int n = 0; n < it.earlier; ++n)
            cr_assert_eq(test.exchange(client), "HTTP/1.1 200", "%s", it.name);
        // Both handlers are due when the loop gets to its timers, and the
        // request arrives after it has looked for input.
        asio::steady_timer delayed(test.io, milliseconds(40));
        delayed.async_wait(
            [&](error_code)
            {
                asio::write(client, asio::buffer(it.before));
            });
        std::this_thread::sleep_for(milliseconds(150));
        test.run_for(milliseconds(20));
        error_code ec;
        asio::write(client, asio::buffer(it.after), ec);
        const auto text = test.received(client, ec);
        cr_assert_eq(text.substr(0, fixture::status_size), "HTTP/1.1 200",
                     "%s: \"%s\", %s", it.name, text.c_str(),
                     ec.message().c_str());
        test.received(client, ec);
        cr_assert_eq(ec, asio::error::eof, "%s", it.name);
        cr_assert_eq(test.metrics.count("mustardwick_closed_idle_total"), 1);
    }
}

struct last_answer_case
{
    const char* name;
    std::string head;
    /// Bytes that the caller sends after the head, before it reads.
    std::size_t more;
    bool draining;
    const char* status;
    std::uint16_t port;
};

// Guards against a last answer that the caller does not get, because a socket
// that is closed with unread bytes resets the connection.
Test(http_listener, delivers_the_last_answer_before_it_closes)
{
    const last_answer_case cases[] = {
        {"body too large",
         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n",
         500'000, false, "HTTP/1.1 413", 18'871},
        {"malformed", "GET /\r\nHost: h\r\n\r\n", 100'000, false,
         "HTTP/1.1 400", 18'872},
        {"requests behind the last answer", request + request, 30'000, true,
         "HTTP/1.1 200", 18'873},
    };
    for (const auto& it : cases)
    {
        fixture test(it.port, {});
        auto client = test.connect();
        if (it.draining)
            test.server.begin_drain();
        asio::write(client, asio::buffer(it.head));
        // The listener answers and closes; the caller is still sending.
        test.run_for(milliseconds(100));
        const std::string part(10'000, 'a');
        error_code ec;
        for (std::size_t n = 0; n < it.more && !ec; n += part.size())
        {
            asio::write(client, asio::buffer(part), ec);
            cr_assert(!ec, "%s: sending byte %zu: %s", it.name, n,
                      ec.message().c_str());
            test.run_for(milliseconds(1));
        }
        const auto text = test.received(client, ec);
        cr_assert_eq(text.substr(0, fixture::status_size), it.status,
                     "%s: %s, %s", it.name, text.c_str(), ec.message().c_str());
        client.close();
        test.run_for(milliseconds(50));
        test.server.close_idle();
        cr_assert(test.server.is_closed(), "%s", it.name);
    }
}

// Guards against a new connection that is closed without an answer although
// idle connections could make way for it: only the one that is idle for longest
// has a request waiting.
Test(http_listener, lets_an_idle_connection_make_way_beside_one_with_a_request)
{
    listener_limits limits;
    limits.max_connections = 2;
    fixture test(18'876, limits);
    auto oldest = test.connect();
    cr_assert_eq(test.exchange(oldest), "HTTP/1.1 200");
    auto idle = test.connect();
    cr_assert_eq(test.exchange(idle), "HTTP/1.1 200");
    // The listener accepts the connection before it reads the request.
    auto added = test.connect();
    asio::write(oldest, asio::buffer(request));
    error_code ec;
    cr_assert_eq(test.exchange(added), "HTTP/1.1 200");
    cr_assert_eq(test.received(oldest, ec).substr(0, fixture::status_size),
                 "HTTP/1.1 200");
    test.received(idle, ec);
    cr_assert_eq(ec, asio::error::eof);
    cr_assert_eq(test.metrics.count("mustardwick_closed_displaced_total"), 1);
}

struct turned_away_case
{
    const char* name;
    /// Time from the connection to its request.
    milliseconds delay;
    std::uint16_t port;
};

// Guards against a caller without a place that gets a closed connection in
// place of an answer that tells it to come again.
Test(http_listener, answers_a_request_for_which_it_has_no_place)
{
    const turned_away_case cases[] = {
        {"request before the accept", milliseconds(0), 18'878},
        {"request after the accept", milliseconds(20), 18'879}};
    for (const auto& it : cases)
    {
        listener_limits limits;
        limits.max_connections = 1;
        fixture test(it.port, limits);
        auto first = test.connect_held();
        auto second = test.connect();
        test.run_for(it.delay);
        error_code ec;
        asio::write(second, asio::buffer(request), ec);
        cr_assert(!ec, "%s: %s", it.name, ec.message().c_str());
        const auto text = test.received(second, ec);
        cr_assert_eq(text.substr(0, fixture::status_size), "HTTP/1.1 503",
                     "%s: \"%s\", %s", it.name, text.c_str(),
                     ec.message().c_str());
        cr_assert(text.find("Retry-After: 1\r\n") != std::string::npos, "%s",
                  it.name);
        cr_assert_eq(test.answer_held(first), "HTTP/1.1 200", "%s", it.name);
    }
}

// Guards against connections without a place that together exceed the limit
// while they are answered.
Test(http_listener, bounds_the_connections_that_it_turns_away)
{
    listener_limits limits;
    limits.max_connections = 1;
    fixture test(18'881, limits);
    auto first = test.connect_held();
    std::vector<asio::ip::tcp::socket> crowd;
    crowd.reserve(100);
    while (crowd.size() < 100)
        crowd.push_back(test.connect());
    test.run_for(milliseconds(100));
    int open = 0;
    for (auto& it : crowd)
    {
        error_code ec;
        open += test.received(it, ec).starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    cr_assert_eq(open, 16);
    cr_assert_eq(test.metrics.count("mustardwick_closed_turned_away_total"),
                 84);
    // Others are told so again once these are closed.
    crowd.clear();
    test.run_for(milliseconds(50));
    auto later = test.connect();
    cr_assert_eq(test.exchange(later), "HTTP/1.1 503");
    cr_assert_eq(test.answer_held(first), "HTTP/1.1 200");
}

struct slow_request_case
{
    const char* name;
    std::string head;
    /// What arrives before the handler of the timeout runs.
    std::string rest;
    const char* status;
    std::uint16_t port;
};

// Guards against a timeout that closes a connection whose request has arrived
// while the event loop was held up, and against a request that is given up
// without an answer.
Test(http_listener, answers_a_request_whose_time_to_arrive_ends)
{
    const std::string post =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n";
    const slow_request_case cases[] = {
        {"rest of the header", request.substr(0, 9), request.substr(9),
         "HTTP/1.1 200", 18'886},
        {"rest of the body", post, "0123456789", "HTTP/1.1 200", 18'887},
        {"part of the header", request.substr(0, 9), "", "HTTP/1.1 503",
         18'888},
        {"part of the body", post, "01234", "HTTP/1.1 503", 18'889},
    };
    for (const auto& it : cases)
    {
        listener_limits limits;
        limits.header_timeout = milliseconds(100);
        fixture test(it.port, limits);
        auto client = test.connect();
        asio::write(client, asio::buffer(it.head));
        test.run_for(milliseconds(20));
        asio::steady_timer delayed(test.io, milliseconds(40));
        delayed.async_wait(
            [&](error_code)
            {
                asio::write(client, asio::buffer(it.rest));
            });
        std::this_thread::sleep_for(milliseconds(150));
        error_code ec;
        const auto text = test.received(client, ec);
        cr_assert_eq(text.substr(0, fixture::status_size), it.status,
                     "%s: \"%s\", %s", it.name, text.c_str(),
                     ec.message().c_str());
    }
}
