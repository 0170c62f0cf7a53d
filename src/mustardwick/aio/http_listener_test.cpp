#include "mustardwick/aio/http_listener.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include "guard_test.hpp"
#include "mustardwick/base/log.hpp"

using namespace mustardwick;
using namespace mustardwick::aio;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

struct close_case
{
    const char* name;
    /// Requests that were answered on the connection before.
    int earlier;
    std::uint16_t port;
};

/// Returns whether the connection has received a whole response.
bool is_answered(asio::io_context& io, asio::ip::tcp::socket& socket)
{
    std::string text;
    bool answered = false;
    asio::async_read_until(socket, asio::dynamic_buffer(text), "{}",
                           [&](boost::system::error_code ec, std::size_t)
                           {
                               answered = !ec;
                               io.stop();
                           });
    io.restart();
    io.run_for(milliseconds(1000));
    return answered;
}

} // namespace

// Guards against a shutdown that drops a request which the host has received,
// on a kept connection or on one that waits to be accepted (hosted-soak seeds
// 338 and 350).
Test(http_listener, answers_requests_that_arrived_before_it_closes)
{
    base::set_up_log("test", base::log_level::error);
    const close_case cases[] = {{"kept connection", 1, 18'761},
                                {"connection not accepted yet", 0, 18'763}};
    for (const auto& it : cases)
    {
        asio::io_context io;
        const wire::endpoint where{"127.0.0.1", it.port};
        http_listener server(io, where, "Deadline-Ms", aio::test::ample_guard(),
                             [](const auto&, const auto& respond)
                             {
                                 respond({200, "{}", "application/json", {}});
                             });
        cr_assert(server.start());
        asio::ip::tcp::socket client(io);
        client.connect({asio::ip::make_address("127.0.0.1"), it.port});
        for (int n = 0; n < it.earlier; ++n)
        {
            asio::write(client, asio::buffer(request));
            cr_assert(is_answered(io, client), "%s", it.name);
        }
        asio::write(client, asio::buffer(request));
        server.begin_drain();
        server.close_idle();
        cr_assert(is_answered(io, client), "%s", it.name);
        cr_assert(server.is_closed(), "%s", it.name);
    }
}

struct begun_case
{
    const char* name;
    /// Requests that were answered on the connection before.
    int earlier;
    /// The listener has read the start of the request.
    bool read;
    std::uint16_t port;
};

// Guards against a shutdown that drops a request whose first bytes have
// arrived, whether or not the host has read them.
Test(http_listener, answers_requests_that_had_begun_to_arrive_before_it_closes)
{
    base::set_up_log("test", base::log_level::error);
    const begun_case cases[] = {{"kept connection, unread", 1, false, 18'891},
                                {"kept connection, read", 1, true, 18'892},
                                {"not accepted yet", 0, false, 18'893},
                                {"new connection, read", 0, true, 18'894}};
    for (const auto& it : cases)
    {
        asio::io_context io;
        const wire::endpoint where{"127.0.0.1", it.port};
        http_listener server(io, where, "Deadline-Ms", aio::test::ample_guard(),
                             [](const auto&, const auto& respond)
                             {
                                 respond({200, "{}", "application/json", {}});
                             });
        cr_assert(server.start());
        asio::ip::tcp::socket client(io);
        client.connect({asio::ip::make_address("127.0.0.1"), it.port});
        client.set_option(asio::ip::tcp::no_delay(true));
        for (int n = 0; n < it.earlier; ++n)
        {
            asio::write(client, asio::buffer(request));
            cr_assert(is_answered(io, client), "%s", it.name);
        }
        asio::write(client, asio::buffer(request.substr(0, 9)));
        io.restart();
        if (it.read)
            io.run_for(milliseconds(20));
        server.begin_drain();
        server.close_idle();
        io.run_for(milliseconds(20));
        // The stop polls; each time it closes what is idle then.
        server.close_idle();
        asio::write(client, asio::buffer(request.substr(9)));
        cr_assert(is_answered(io, client), "%s", it.name);
        cr_assert(server.is_closed(), "%s", it.name);
    }
}

struct age_case
{
    const char* name;
    /// How long the request is in the socket before the process reads it.
    milliseconds pause;
    std::uint16_t port;
};

// Guards against taking the time at which a process read a request for that of
// its arrival: the process may have been stopped in between.
Test(http_listener, tells_how_long_a_request_was_unread)
{
    base::set_up_log("test", base::log_level::error);
    const age_case cases[] = {{"read at once", milliseconds(0), 18'765},
                              {"process stopped", milliseconds(400), 18'767}};
    for (const auto& it : cases)
    {
        asio::io_context io;
        std::optional<milliseconds> unread;
        http_listener server(io, {"127.0.0.1", it.port}, "Deadline-Ms",
                             aio::test::ample_guard(),
                             [&](const auto& received, const auto& respond)
                             {
                                 unread = received.unread;
                                 respond({200, "{}", "application/json", {}});
                             });
        cr_assert(server.start());
        asio::ip::tcp::socket client(io);
        client.connect({asio::ip::make_address("127.0.0.1"), it.port});
        asio::write(client, asio::buffer(request));
        std::this_thread::sleep_for(it.pause);
        cr_assert(is_answered(io, client), "%s", it.name);
        cr_assert(unread.has_value(), "%s", it.name);
        // The system counts in ticks of up to 10 ms.
        cr_assert_geq(*unread, it.pause - milliseconds(20), "%s", it.name);
    }
}
