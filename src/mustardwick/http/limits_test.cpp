#include <atomic>
#include <ctime>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <sys/resource.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "../wire/raw_connection_test.hpp"
#include "mustardwick/http/client.hpp"
#include "mustardwick/http/server.hpp"

using namespace mustardwick;
using namespace mustardwick::http;
using std::chrono::milliseconds;
using wire::raw_connection;

namespace
{

constexpr std::size_t kilobyte = 1U << 10U;
constexpr std::size_t megabyte = 1U << 20U;

server_options options()
{
    server_options out;
    out.listen = {"127.0.0.1", 0};
    out.handler_threads = 4;
    return out;
}

response empty_answer(const request&)
{
    return {};
}

std::size_t resident_bytes()
{
    std::ifstream in("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

bool answers(std::uint16_t port)
{
    raw_connection conn(port);
    conn.send("GET / HTTP/1.1\r\n\r\n");
    return conn.read("\r\n\r\n").starts_with("HTTP/1.1 200");
}

#ifdef __SANITIZE_ADDRESS__
/// AddressSanitizer's quarantine holds up to 256 MB of freed memory.
constexpr std::size_t max_growth = (64 + 256) * megabyte;
#else
constexpr std::size_t max_growth = 64 * megabyte;
#endif

struct flood_case
{
    const char* name;
    std::string start;
    std::string piece;
};

std::string chunked_post()
{
    return "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
}

} // namespace

// Guards against a client that exhausts the daemon's memory with one request.
Test(limits, oversized_requests_are_not_buffered, .timeout = 120)
{
    const std::string text(64 * kilobyte, 'x');
    const std::vector<flood_case> cases = {
        {"body", "POST /x HTTP/1.1\r\nContent-Length: 314572800\r\n\r\n", text},
        {"chunks", chunked_post(), "10000\r\n" + text + "\r\n"},
        {"small chunks", chunked_post(), "1\r\nx\r\n"},
        {"chunk extension", chunked_post() + "5;", text},
        {"chunk size zeros", chunked_post(), std::string(64 * kilobyte, '0')},
        {"trailer", chunked_post() + "0\r\nA: ", text},
        {"trailers", chunked_post() + "0\r\n", "A: " + text + "\r\n"},
        {"header", "POST /x HTTP/1.1\r\nA: ", text},
        {"empty lines", "", std::string(64 * kilobyte, '\n')},
    };
    base::metrics metrics;
    auto chosen = options();
    chosen.read_timeout = milliseconds{3000};
    server listener(chosen, empty_answer, metrics);
    cr_assert(listener.start());
    for (const auto& it : cases)
    {
        const auto before = resident_bytes();
        raw_connection conn(listener.port());
        std::size_t sent = 0;
        std::string piece;
        while (piece.size() < text.size())
            piece += it.piece;
        bool open = conn.send(it.start);
        while (open && sent < 300 * megabyte)
        {
            open = conn.send(piece);
            sent += piece.size();
        }
        const auto after = resident_bytes();
        const auto growth = after > before ? after - before : 0;
        cr_expect_lt(growth, 16 * megabyte, "%s: %zu MB", it.name,
                     growth / megabyte);
        cr_expect_lt(sent, 300 * megabyte, "%s was read to its end", it.name);
    }
    cr_assert(answers(listener.port()));
}

// Guards against exhausting memory with many bodies that are each below the
// limit for one body.
Test(limits, bodies_of_all_connections_are_bounded, .timeout = 60)
{
    base::metrics metrics;
    auto chosen = options();
    chosen.max_buffered_bytes = 8 * megabyte;
    server listener(chosen, empty_answer, metrics);
    cr_assert(listener.start());
    const auto before = resident_bytes();
    const auto input = "POST /x HTTP/1.1\r\nContent-Length: 1048576\r\n\r\n" +
                       std::string(1'000'000, 'x');
    std::vector<std::unique_ptr<raw_connection>> conns;
    for (int n = 0; n < 200; ++n)
    {
        conns.push_back(std::make_unique<raw_connection>(listener.port()));
        conns.back()->send(input);
    }
    std::this_thread::sleep_for(milliseconds{500});
    const auto growth = resident_bytes() - before;
    cr_assert_lt(growth, max_growth, "%zu MB", growth / megabyte);
    cr_assert(answers(listener.port()));
}

// Guards against idle connections that use up max_connections.
Test(limits, idle_connections_are_bounded_and_closed, .timeout = 60)
{
    base::metrics metrics;
    auto chosen = options();
    chosen.max_connections = 300;
    chosen.idle_timeout = milliseconds{1500};
    server listener(chosen, empty_answer, metrics);
    cr_assert(listener.start());
    std::vector<std::unique_ptr<raw_connection>> conns;
    conns.reserve(350);
    for (int n = 0; n < 250; ++n)
        conns.push_back(std::make_unique<raw_connection>(listener.port()));
    cr_assert(answers(listener.port()));
    for (int n = 0; n < 100; ++n)
        conns.push_back(std::make_unique<raw_connection>(listener.port()));
    cr_assert(conns.back()->closes_within(milliseconds{1000}));
    cr_assert(conns.front()->closes_within(milliseconds{3000}));
    std::this_thread::sleep_for(milliseconds{300});
    cr_assert(answers(listener.port()));
}

// Guards against an accept loop that spins when the process has no file
// descriptors left.
Test(limits, accepting_without_descriptors_does_not_spin, .timeout = 60)
{
    base::metrics metrics;
    server listener(options(), empty_answer, metrics);
    cr_assert(listener.start());
    // UBSan opens a pipe when it first checks an object of a type, so each type
    // is used once before the descriptors run out.
    cr_assert(answers(listener.port()));
    cr_assert_not(raw_connection(1).is_open());
    // Opens and closes a connection without a request, and waits until the
    // server has handled the close: on a busy machine it could otherwise do so
    // after the limit on descriptors is set.
    raw_connection(listener.port()).is_open();
    std::this_thread::sleep_for(milliseconds{300});
    const rlimit few{80, 80};
    cr_assert_eq(::setrlimit(RLIMIT_NOFILE, &few), 0);
    using tcp = boost::asio::ip::tcp;
    const tcp::endpoint remote(boost::asio::ip::make_address("127.0.0.1"),
                               listener.port());
    boost::asio::io_context io;
    std::vector<tcp::socket> conns;
    boost::system::error_code ec;
    while (!ec)
    {
        conns.emplace_back(io);
        conns.back().connect(remote, ec);
    }
    std::this_thread::sleep_for(milliseconds{100});
    const auto before = std::clock();
    std::this_thread::sleep_for(milliseconds{1000});
    const double used =
        static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    cr_assert_lt(used, 0.2, "%f s of processor time", used);
    conns.clear();
    std::this_thread::sleep_for(milliseconds{500});
    cr_assert(answers(listener.port()));
}

// Guards against connections that stay open, and memory that is not freed,
// after the server has stopped.
Test(limits, stop_closes_idle_connections, .timeout = 30)
{
    base::metrics metrics;
    auto listener = std::make_unique<server>(options(), empty_answer, metrics);
    cr_assert(listener->start());
    raw_connection conn(listener->port());
    conn.send("GET / HTTP/1.1\r\n\r\n");
    conn.read("\r\n\r\n");
    cr_assert(listener->stop(milliseconds{100}));
    cr_assert(conn.closes_within(milliseconds{500}));
}

// Guards against a graceful stop that aborts a request in progress.
Test(limits, stop_waits_for_running_requests, .timeout = 30)
{
    base::metrics metrics;
    std::atomic<bool> handler_started{false};
    server listener(
        options(),
        [&](const request&)
        {
            handler_started = true;
            std::this_thread::sleep_for(milliseconds{300});
            return response{};
        },
        metrics);
    cr_assert(listener.start());
    raw_connection conn(listener.port());
    conn.send("POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    while (!handler_started)
        std::this_thread::sleep_for(milliseconds{5});
    cr_assert(listener.stop(milliseconds{2000}));
    cr_assert(conn.read().starts_with("HTTP/1.1 200"));
}
