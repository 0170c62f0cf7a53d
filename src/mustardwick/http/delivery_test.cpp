#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cpprest/http_client.h>
#include <criterion/criterion.h>

#include "mustardwick/http/client.hpp"

using namespace mustardwick;
using namespace mustardwick::http;
using std::chrono::milliseconds;

namespace
{

using tcp = boost::asio::ip::tcp;

/// Accepts connections one at a time and runs the next script on each.
class scripted_server
{
public:
    using script = std::function<void(tcp::socket&)>;

    explicit scripted_server(std::vector<script> scripts)
        : thread_(
              [this, scripts = std::move(scripts)]
              {
                  for (const auto& it : scripts)
                  {
                      auto socket = acceptor_.accept();
                      it(socket);
                  }
              })
    {
    }

    ~scripted_server()
    {
        thread_.join();
    }

    wire::endpoint address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    /// Reads one request without a body; returns false when the peer closed.
    static bool read(tcp::socket& socket)
    {
        std::string input;
        char byte = 0;
        boost::system::error_code ec;
        while (!input.ends_with("\r\n\r\n"))
        {
            socket.read_some(boost::asio::buffer(&byte, 1), ec);
            if (ec)
                return false;
            input += byte;
        }
        return true;
    }

    static void write(tcp::socket& socket, const std::string& text)
    {
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(text), ec);
    }

private:
    boost::asio::io_context io_;
    tcp::acceptor acceptor_{io_,
                            {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::thread thread_;
};

std::string answer(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Answers the first request and closes after reading the second.
scripted_server::script answer_then_close(std::atomic<int>& received)
{
    return [&received](tcp::socket& socket)
    {
        scripted_server::read(socket);
        scripted_server::write(socket, answer("first"));
        received += scripted_server::read(socket);
    };
}

/// Answers one request and counts it.
scripted_server::script answer_once(std::atomic<int>& received)
{
    return [&received](tcp::socket& socket)
    {
        received += scripted_server::read(socket);
        scripted_server::write(socket, answer("second"));
    };
}

client_call call_of(bool idempotent)
{
    client_call out;
    out.idempotent = idempotent;
    out.timeout = milliseconds{1500};
    return out;
}

struct answer_case
{
    std::string name;
    std::string bytes;
    /// Body of the accepted response; empty when it must be rejected.
    std::string expected;
};

constexpr int max_posts = 60;

/// Answers the first request of each connection, and closes the connection
/// without an answer after it has read the second.
class closing_server
{
public:
    closing_server()
        : accepting_(
              [this]
              {
                  accept();
              })
    {
    }

    ~closing_server()
    {
        stopping_ = true;
        boost::asio::io_context io;
        tcp::socket wake(io);
        boost::system::error_code ec;
        wake.connect(acceptor_.local_endpoint(), ec);
        accepting_.join();
        for (auto& it : sockets_)
            it->shutdown(tcp::socket::shutdown_both, ec);
        for (auto& it : threads_)
            it.join();
    }

    wire::endpoint address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    int received() const
    {
        return received_;
    }

private:
    void accept()
    {
        while (true)
        {
            auto socket = std::make_shared<tcp::socket>(acceptor_.accept());
            if (stopping_)
                return;
            sockets_.push_back(socket);
            threads_.emplace_back(
                [this, socket]
                {
                    serve(*socket);
                });
        }
    }

    void serve(tcp::socket& socket)
    {
        if (!scripted_server::read(socket))
            return;
        ++received_;
        boost::system::error_code ec;
        boost::asio::write(socket,
                           boost::asio::buffer(std::string(
                               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                               "\r\nok")),
                           ec);
        if (scripted_server::read(socket))
            ++received_;
        socket.shutdown(tcp::socket::shutdown_both, ec);
    }

    boost::asio::io_context io_{1};
    tcp::acceptor acceptor_{io_,
                            {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::atomic<int> received_{0};
    std::atomic<bool> stopping_{false};
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
    std::vector<std::thread> threads_;
    std::thread accepting_;
};

} // namespace

// Shows why cpprestsdk's client is not used for calls to targets: it resends a
// POST that the server had read before it closed the pooled connection.
Test(delivery, cpprestsdk_client_resends_a_post, .timeout = 30)
{
    const closing_server server;
    web::http::client::http_client caller("http://" +
                                          wire::to_string(server.address()));
    int sent = 0;
    // The library resends only on a pooled connection, and a connection
    // returns to the pool some time after its response was read.
    while (sent < max_posts && server.received() <= sent)
    {
        ++sent;
        auto answer = caller.request(web::http::methods::POST, "/").get();
        answer.content_ready().wait();
        std::this_thread::sleep_for(milliseconds{50});
    }
    cr_assert_gt(server.received(), sent);
}

// Guards against executing a non-idempotent call, such as a deposit, twice.
Test(delivery, resends_only_idempotent_calls, .timeout = 30)
{
    base::metrics metrics;
    client caller({}, metrics);
    std::atomic<int> received{0};
    const auto read_and_close = [&](tcp::socket& socket)
    {
        received += scripted_server::read(socket);
    };
    {
        const scripted_server server({read_and_close, answer_once(received)});
        auto progress = delivery::not_sent;
        cr_assert_not(caller.send(server.address(), call_of(false), &progress));
        cr_assert_eq(progress, delivery::maybe_sent);
        cr_assert_eq(received, 1);
        cr_assert(caller.send(server.address(), call_of(false)).has_value());
    }
    received = 0;
    const scripted_server server(
        {answer_then_close(received), answer_once(received)});
    cr_assert(caller.send(server.address(), call_of(true)).has_value());
    auto progress = delivery::not_sent;
    const auto second = caller.send(server.address(), call_of(true), &progress);
    cr_assert(second && second->body == "second");
    cr_assert_eq(progress, delivery::resent);
    cr_assert_eq(received, 2);
}

// Guards against sending a non-idempotent call on a pooled connection, which
// may already be closed.
Test(delivery, non_idempotent_calls_open_a_new_connection, .timeout = 30)
{
    base::metrics metrics;
    client caller({}, metrics);
    std::atomic<int> received{0};
    const scripted_server server(
        {answer_then_close(received), answer_once(received)});
    cr_assert(caller.send(server.address(), call_of(true)).has_value());
    std::thread other(
        [&]
        {
            // Uses the pooled connection, so that its script ends.
            caller.send(server.address(), call_of(true));
        });
    other.join();
    cr_assert_eq(received, 2);
}

// Guards against a response that arrives after the timeout and is taken for the
// response to a later call.
Test(delivery, late_answers_reach_no_other_call, .timeout = 30)
{
    base::metrics metrics;
    client caller({}, metrics);
    for (const bool idempotent : {false, true})
    {
        const scripted_server server(
            {[](tcp::socket& socket)
             {
                 scripted_server::read(socket);
                 std::this_thread::sleep_for(milliseconds{300});
                 scripted_server::write(socket, answer("late"));
             },
             [](tcp::socket& socket)
             {
                 scripted_server::read(socket);
                 scripted_server::write(socket, answer("own"));
             }});
        auto call = call_of(idempotent);
        call.timeout = milliseconds{150};
        cr_assert_not(caller.send(server.address(), call));
        call.timeout = milliseconds{1500};
        const auto own = caller.send(server.address(), call);
        cr_assert(own && own->body == "own");
    }
}

// Guards against a second response to one call, which would be taken for the
// response to the next call on the connection.
Test(delivery, unsolicited_answers_reach_no_other_call, .timeout = 30)
{
    base::metrics metrics;
    client caller({}, metrics);
    const scripted_server server(
        {[](tcp::socket& socket)
         {
             scripted_server::read(socket);
             scripted_server::write(socket,
                                    answer("first") + answer("crossed"));
             std::this_thread::sleep_for(milliseconds{100});
         },
         [](tcp::socket& socket)
         {
             scripted_server::read(socket);
             scripted_server::write(socket, answer("own"));
         }});
    cr_assert_eq(caller.send(server.address(), call_of(true))->body, "first");
    cr_assert_eq(caller.send(server.address(), call_of(true))->body, "own");
}

// Guards against accepting truncated, ambiguous or oversized responses.
Test(delivery, only_complete_answers_are_accepted, .timeout = 60)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<answer_case> cases = {
        {"whole", answer("body"), "body"},
        {"chunks", chunked + "4\r\nbody\r\n0\r\n\r\n", "body"},
        {"interim", "HTTP/1.1 100 Continue\r\n\r\n" + answer("body"), "body"},
        {"cut body", ok + "Content-Length: 9\r\n\r\nbody", ""},
        {"cut chunks", chunked + "4\r\nbody\r\n", ""},
        {"cut header", "HTTP/1.1 200 OK\r\nContent-Le", ""},
        {"no length", ok + "\r\nbody", ""},
        {"two lengths",
         ok + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody", ""},
        {"too large", answer(std::string(5000, 'x')), ""},
        {"endless extension", chunked + "4;" + std::string(200'000, 'x'), ""},
        {"garbage", "garbage\r\n\r\n", ""},
        {"closed", "", ""},
    };
    base::metrics metrics;
    client_options chosen;
    chosen.max_body_bytes = 4000;
    client caller(chosen, metrics);
    for (const auto& it : cases)
    {
        const scripted_server server({[&](tcp::socket& socket)
                                      {
                                          scripted_server::read(socket);
                                          scripted_server::write(socket,
                                                                 it.bytes);
                                      }});
        const auto out = caller.send(server.address(), call_of(false));
        cr_expect_eq(out ? out->body : std::string(), it.expected, "%s: %s",
                     it.name.c_str(),
                     out ? out->body.substr(0, 80).c_str() : "");
    }
}
