#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "../wire/raw_connection_test.hpp"
#include "mustardwick/http/server.hpp"

using namespace mustardwick;
using namespace mustardwick::http;
using wire::raw_connection;

namespace
{

constexpr std::chrono::milliseconds read_timeout{400};

server_options options()
{
    server_options out;
    out.listen = {"127.0.0.1", 0};
    out.handler_threads = 4;
    out.read_timeout = read_timeout;
    return out;
}

response echo(const request& call)
{
    response out;
    out.body = "<" + call.path + ":" + std::to_string(call.body.size()) + ">";
    return out;
}

std::size_t count_of(const std::string& text, std::string_view part)
{
    std::size_t n = 0;
    for (auto it = text.find(part); it != std::string::npos;
         it = text.find(part, it + 1))
        ++n;
    return n;
}

struct input_case
{
    std::string name;
    std::string bytes;
    /// Status of the first response; empty when the server closes without one.
    std::string status;
};

std::string post(const std::string& headers, const std::string& body = {})
{
    return "POST /x HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + body;
}

const std::string chunked = "Transfer-Encoding: chunked\r\n";

std::vector<input_case> header_cases()
{
    return {
        {"garbage", "GARBAGE\r\n\r\n", "400"},
        {"binary", std::string("\x16\x03\x01\x00\xff\x00\x01", 7), "400"},
        {"http/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "400"},
        {"no colon", post("Broken\r\n"), "400"},
        {"space before colon", post("Content-Length : 2\r\n", "ab"), "400"},
        {"control character", post("A: \x01\r\n"), "400"},
        {"long header", post("A: " + std::string(9000, 'a') + "\r\n"), "413"},
        {"endless header", "POST /x HTTP/1.1\r\nA: " + std::string(20'000, 'a'),
         "413"},
        {"long target", "GET /" + std::string(9000, 'a') + " HTTP/1.1\r\n\r\n",
         "413"},
        {"truncated header", "POST /x HTTP/1.1\r\nHos", ""},
        {"nothing", "", ""},
    };
}

std::vector<input_case> body_cases()
{
    return {
        {"negative length", post("Content-Length: -1\r\n"), "400"},
        {"length with sign", post("Content-Length: +2\r\n", "ab"), "400"},
        {"length overflow", post("Content-Length: 18446744073709551617\r\n"),
         "400"},
        {"two lengths",
         post("Content-Length: 2\r\nContent-Length: 3\r\n", "abc"), "400"},
        {"folded length", post("Content-Length: 2\r\n 3\r\n", "abc"), "400"},
        {"length and chunked", post("Content-Length: 2\r\n" + chunked, "ab"),
         "400"},
        {"chunked and length", post(chunked + "Content-Length: 2\r\n", "ab"),
         "400"},
        {"other coding", post("Transfer-Encoding: gzip\r\n", "ab"), "400"},
        {"chunked not last",
         post("Transfer-Encoding: chunked, gzip\r\n", "0\r\n\r\n"), "400"},
        {"length over bound", post("Content-Length: 1048577\r\n"), "413"},
        {"body and length over bound",
         post("Content-Length: 1048577\r\n", "body"), "413"},
        {"chunk over bound", post(chunked, "100001\r\n"), "413"},
        {"huge chunk", post(chunked, "ffffffffffffffff\r\n"), "413"},
        {"chunk overflow", post(chunked, "1ffffffffffffffff\r\n"), "400"},
        {"chunk garbage", post(chunked, "zz\r\n"), "400"},
        {"truncated body", post("Content-Length: 5\r\n", "ab"), ""},
        {"truncated chunk", post(chunked, "5\r\nab"), ""},
        {"good chunks", post(chunked, "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"),
         "200"},
    };
}

std::vector<input_case> target_cases()
{
    return {
        {"escaped bad utf-8", "GET /%ff%fe HTTP/1.1\r\n\r\n", "400"},
        {"raw bad utf-8", "GET /\xff HTTP/1.1\r\n\r\n", "400"},
        {"escaped surrogate", "GET /%ed%a0%80 HTTP/1.1\r\n\r\n", "400"},
        {"bad utf-8 in query", "GET /?a=%ff HTTP/1.1\r\n\r\n", "400"},
        {"nul", "GET /a%00b HTTP/1.1\r\n\r\n", "400"},
        {"bad escape", "GET /%zz HTTP/1.1\r\n\r\n", "400"},
        {"cut escape", "GET /%4 HTTP/1.1\r\n\r\n", "400"},
        {"good utf-8", "GET /%c3%a9 HTTP/1.1\r\n\r\n", "200"},
    };
}

void check(const std::vector<input_case>& cases)
{
    base::metrics metrics;
    server listener(options(), echo, metrics);
    cr_assert(listener.start());
    for (const auto& it : cases)
    {
        raw_connection conn(listener.port());
        conn.send(it.bytes);
        conn.finish_sending();
        const auto output = conn.read();
        const auto status =
            output.size() > 12 ? output.substr(9, 3) : std::string();
        cr_expect_eq(status, it.status, "%s: got %s", it.name.c_str(),
                     output.substr(0, 200).c_str());
    }
    raw_connection conn(listener.port());
    conn.send("GET /still HTTP/1.1\r\n\r\n");
    cr_assert(conn.read("</still:0>").ends_with("</still:0>"));
}

} // namespace

// Guards against malformed headers that reach a handler or crash the server.
Test(bad_input, headers, .timeout = 60)
{
    check(header_cases());
}

// Guards against request smuggling: bodies whose end client and server could
// determine differently.
Test(bad_input, bodies, .timeout = 60)
{
    check(body_cases());
}

// Guards against targets that are not valid text for logs and storage.
Test(bad_input, targets, .timeout = 60)
{
    check(target_cases());
}

// Guards against pipelined requests that are lost or answered out of order.
Test(bad_input, pipelined_requests_are_answered_in_order, .timeout = 30)
{
    base::metrics metrics;
    server listener(options(), echo, metrics);
    cr_assert(listener.start());
    raw_connection conn(listener.port());
    std::string input;
    for (int n = 0; n < 50; ++n)
        input += "POST /" + std::to_string(n) +
                 " HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    conn.send(input);
    const auto output = conn.read("</49:3>");
    std::size_t last = 0;
    for (int n = 0; n < 50; ++n)
    {
        const auto at = output.find("</" + std::to_string(n) + ":3>", last);
        cr_assert_neq(at, std::string::npos, "answer %d", n);
        last = at;
    }
    cr_assert_eq(count_of(output, "HTTP/1.1 200"), 50);
}

// Guards against a client that sees a connection reset instead of the error
// response because it is still sending its body.
Test(bad_input, a_client_that_is_still_sending_receives_the_error,
     .timeout = 30)
{
    base::metrics metrics;
    server listener(options(), echo, metrics);
    cr_assert(listener.start());
    for (int n = 0; n < 20; ++n)
    {
        raw_connection conn(listener.port());
        conn.send(post("Content-Length: 4000000\r\n"));
        conn.send(std::string(4'000'000, 'x'));
        cr_assert(conn.read("413").starts_with("HTTP/1.1 413"));
    }
}

// Guards against clients that occupy a connection by sending a request one byte
// at a time or without end.
Test(bad_input, slow_requests_are_cut_off, .timeout = 60)
{
    base::metrics metrics;
    server listener(options(), echo, metrics);
    cr_assert(listener.start());
    for (const auto& start :
         {std::string("POST /x HTTP/1.1\r\nA: "),
          post("Content-Length: 900\r\n"), post(chunked, "384\r\n")})
    {
        raw_connection conn(listener.port());
        const auto started = std::chrono::steady_clock::now();
        conn.send(start);
        while (!conn.closes_within(std::chrono::milliseconds{20}) &&
               std::chrono::steady_clock::now() - started < 10 * read_timeout)
            conn.send("a");
        const auto took = std::chrono::steady_clock::now() - started;
        cr_assert_geq(took.count(), (read_timeout * 9 / 10 + took * 0).count());
        cr_assert_lt(took.count(), (read_timeout * 3 + took * 0).count());
    }
}
