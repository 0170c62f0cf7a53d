#include "mustardwick/wire/rpc.hpp"

#include <atomic>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include <boost/asio/read.hpp>
#include <criterion/criterion.h>

#include "mustardwick/base/error.hpp"
#include "raw_connection_test.hpp"

using namespace mustardwick;
using namespace mustardwick::wire;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t megabyte = 1U << 20U;
constexpr milliseconds frame_timeout{400};
const std::string secret = "secret";

/// A server that echoes the payload of each call and counts the calls.
struct echo_server
{
    echo_server()
    {
        cr_assert(listener.start());
    }

    static rpc_server_options options()
    {
        rpc_server_options out;
        out.listen = {"127.0.0.1", 0};
        out.secret = secret;
        out.handler_threads = 4;
        out.frame_timeout = frame_timeout;
        return out;
    }

    endpoint address() const
    {
        return {"127.0.0.1", listener.port()};
    }

    bool answers()
    {
        rpc_client caller({secret}, metrics);
        return caller.call(address(), message_type::notify_inbox,
                           std::string("x"), milliseconds{2000}, true) == "x";
    }

    base::metrics metrics;
    std::atomic<int> calls{0};
    rpc_server listener{
        options(),
        [this](message_type,
               const std::string& bytes) -> std::optional<std::string>
        {
            ++calls;
            if (bytes == "throw")
                throw std::runtime_error("thrown by the handler");
            if (bytes == "slow")
                std::this_thread::sleep_for(milliseconds{300});
            return bytes;
        },
        metrics};
};

std::string framed(const frame& value, std::string_view key)
{
    const auto bytes = encode_frame(value, key);
    return encode_length(bytes.size()) + bytes;
}

/// Reads the server's challenge and returns the key of the connection.
std::string key_of(raw_connection& conn)
{
    return connection_key(secret, conn.read_exactly(challenge_bytes));
}

std::size_t resident_bytes()
{
    std::ifstream in("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// Accepts one connection per script, sends the challenge and runs the script.
class fake_peer
{
public:
    using tcp = boost::asio::ip::tcp;
    using script = std::function<void(tcp::socket&, const std::string& key)>;

    explicit fake_peer(std::vector<script> scripts)
        : thread_(
              [this, scripts = std::move(scripts)]
              {
                  for (const auto& it : scripts)
                  {
                      auto socket = acceptor_.accept();
                      const auto challenge = make_challenge();
                      boost::asio::write(socket,
                                         boost::asio::buffer(challenge));
                      it(socket, connection_key(secret, challenge));
                  }
              })
    {
    }

    ~fake_peer()
    {
        thread_.join();
    }

    endpoint address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    static frame read(tcp::socket& socket, const std::string& key)
    {
        std::array<char, length_bytes> length{};
        boost::asio::read(socket, boost::asio::buffer(length));
        std::string bytes(decode_length(length).value_or(0), '\0');
        boost::asio::read(socket, boost::asio::buffer(bytes));
        return decode_frame(bytes, key).value_or(frame{});
    }

    static void write(tcp::socket& socket, const std::string& key,
                      std::uint64_t correlation, const std::string& text,
                      message_type type = message_type::answer)
    {
        boost::system::error_code ec;
        boost::asio::write(
            socket, boost::asio::buffer(framed({type, correlation, text}, key)),
            ec);
    }

private:
    boost::asio::io_context io_;
    tcp::acceptor acceptor_{io_,
                            {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::thread thread_;
};

} // namespace

// Guards against bytes of another protocol or of an unauthenticated sender that
// stop the server or reach the handler.
Test(rpc, closes_connections_with_invalid_bytes, .timeout = 60)
{
    echo_server server;
    std::mt19937 random(1);
    std::string noise;
    for (int n = 0; n < 5000; ++n)
        noise += static_cast<char>(random());
    const std::vector<std::string> inputs = {
        noise,
        "GET / HTTP/1.1\r\n\r\n",
        std::string("\xff\xff\xff\xff", 4),
        std::string(4, '\0'),
        encode_length(100) + noise.substr(0, 100),
        framed({message_type::notify_inbox, 1, "x"}, secret),
        framed({message_type::notify_inbox, 1, "x"}, "other"),
    };
    for (const auto& it : inputs)
    {
        raw_connection conn(server.address().port);
        conn.send(it);
        cr_expect(conn.closes_within(frame_timeout * 4));
    }
    cr_assert_eq(server.calls, 0);
    cr_assert_geq(
        server.metrics.count("mustardwick_inner_frames_dropped_total"), 5);
    cr_assert(server.answers());
}

// Guards against clients that hold connections open without sending a frame, or
// that send it one byte at a time.
Test(rpc, idle_and_slow_connections_are_closed, .timeout = 60)
{
    echo_server server;
    raw_connection idle_conn(server.address().port);
    raw_connection slow_conn(server.address().port);
    slow_conn.send(encode_length(200));
    const auto start_time = std::chrono::steady_clock::now();
    bool closed = false;
    while (!closed &&
           std::chrono::steady_clock::now() - start_time < frame_timeout * 5)
    {
        slow_conn.send("x");
        closed = slow_conn.closes_within(milliseconds{20});
    }
    cr_assert(closed);
    cr_assert(idle_conn.closes_within(frame_timeout));
    cr_assert(server.answers());
}

// Guards against a recorded frame that is executed again, on the same or on
// another connection.
Test(rpc, a_replayed_frame_is_rejected, .timeout = 30)
{
    echo_server server;
    raw_connection first(server.address().port);
    const auto recorded =
        framed({message_type::notify_inbox, 9, "pay"}, key_of(first));
    first.send(recorded);
    cr_assert_neq(first.read("pay").find("pay"), std::string::npos);
    first.send(recorded);
    cr_assert(first.closes_within(milliseconds{1000}));
    raw_connection second(server.address().port);
    second.send(recorded);
    cr_assert(second.closes_within(milliseconds{1000}));
    cr_assert_eq(server.calls, 1);
}

// Guards against accepting calls of a daemon with another shared secret.
Test(rpc, a_wrong_secret_is_rejected, .timeout = 30)
{
    echo_server server;
    rpc_client caller({"other"}, server.metrics);
    cr_assert_not(caller.call(server.address(), message_type::notify_inbox,
                              std::string("x"), milliseconds{500}, true));
    cr_assert_eq(server.calls, 0);
}

// Guards against unauthenticated senders that exhaust memory with incomplete
// frames.
Test(rpc, frames_being_received_are_bounded, .timeout = 60)
{
    echo_server server;
    const auto before = resident_bytes();
    const auto input =
        encode_length(2 * megabyte) + std::string(2 * megabyte - 1, 'x');
    std::vector<std::unique_ptr<raw_connection>> conns;
    conns.reserve(100);
    std::size_t highest = 0;
    for (int n = 0; n < 100; ++n)
    {
        conns.push_back(
            std::make_unique<raw_connection>(server.address().port));
        conns.back()->send(input);
        highest = std::max(highest, resident_bytes());
    }
    cr_assert_lt(highest - std::min(before, highest), 64 * megabyte);
    std::this_thread::sleep_for(frame_timeout * 2);
    cr_assert(server.answers());
}

// Guards against a throwing handler that stops the server, and against a stop
// that drops the answer of a running call.
Test(rpc, a_stop_finishes_running_calls, .timeout = 30)
{
    echo_server server;
    rpc_client caller({secret}, server.metrics);
    cr_assert_not(caller.call(server.address(), message_type::notify_inbox,
                              std::string("throw"), milliseconds{1000}, false));
    cr_assert_eq(base::last_error().kind, base::error_kind::internal);
    raw_connection idle(server.address().port);
    idle.read_exactly(challenge_bytes);
    std::optional<std::string> answer;
    std::thread call(
        [&]
        {
            answer =
                caller.call(server.address(), message_type::notify_inbox,
                            std::string("slow"), milliseconds{2000}, false);
        });
    while (server.calls < 2)
        std::this_thread::sleep_for(milliseconds{5});
    server.listener.stop();
    call.join();
    cr_assert(answer == "slow");
    cr_assert(idle.closes_within(milliseconds{200}));
}

// Guards against accepting an answer that belongs to another call: wrong
// correlation id, reflected call, wrong key or late answer.
Test(rpc, mismatched_answers_are_rejected, .timeout = 30)
{
    using tcp = fake_peer::tcp;
    base::metrics metrics;
    const auto wrong_id = [](tcp::socket& socket, const std::string& key)
    {
        const auto call = fake_peer::read(socket, key);
        fake_peer::write(socket, key, call.correlation + 1, "foreign");
    };
    const auto reflected = [](tcp::socket& socket, const std::string& key)
    {
        const auto call = fake_peer::read(socket, key);
        fake_peer::write(socket, key, call.correlation, call.payload,
                         call.type);
    };
    const auto wrong_key = [](tcp::socket& socket, const std::string&)
    {
        fake_peer::write(socket, "other", 1, "foreign");
    };
    const auto late = [](tcp::socket& socket, const std::string& key)
    {
        const auto call = fake_peer::read(socket, key);
        std::this_thread::sleep_for(milliseconds{400});
        fake_peer::write(socket, key, call.correlation, "late");
    };
    const auto good = [](tcp::socket& socket, const std::string& key)
    {
        const auto call = fake_peer::read(socket, key);
        fake_peer::write(socket, key, call.correlation, "own");
    };
    const fake_peer peer({wrong_id, reflected, wrong_key, late, good});
    rpc_client caller({secret}, metrics);
    for (int n = 0; n < 4; ++n)
        cr_expect_not(caller.call(peer.address(), message_type::notify_inbox,
                                  std::string("x"), milliseconds{200}, false));
    cr_assert(caller.call(peer.address(), message_type::notify_inbox,
                          std::string("x"), milliseconds{2000},
                          false) == "own");
}

// Guards against sending a call that is not idempotent twice: the peer reads it
// on a pooled connection, then closes that connection without an answer.
Test(rpc, only_idempotent_calls_are_sent_again, .timeout = 30)
{
    using tcp = fake_peer::tcp;
    for (const bool idempotent : {false, true})
    {
        base::metrics metrics;
        std::atomic<int> received{0};
        const auto once_then_close =
            [&](tcp::socket& socket, const std::string& key)
        {
            const auto call = fake_peer::read(socket, key);
            fake_peer::write(socket, key, call.correlation, "own");
            fake_peer::read(socket, key);
            ++received;
        };
        const auto good = [&](tcp::socket& socket, const std::string& key)
        {
            const auto call = fake_peer::read(socket, key);
            received += call.payload == "second";
            fake_peer::write(socket, key, call.correlation, "own");
        };
        const fake_peer peer({once_then_close, good});
        rpc_client caller({secret}, metrics);
        auto progress = call_progress::not_sent;
        const auto send = [&](const std::string& text)
        {
            return caller
                .call(peer.address(), message_type::notify_inbox, text,
                      milliseconds{2000}, idempotent, &progress)
                .has_value();
        };
        cr_assert(send("first"));
        cr_assert_eq(progress, call_progress::maybe_sent);
        cr_assert_eq(send("second"), idempotent);
        cr_assert_eq(progress, idempotent ? call_progress::resent
                                          : call_progress::maybe_sent);
        if (!idempotent)
            cr_assert(send("third"));
        cr_assert_eq(received, idempotent ? 2 : 1);
    }
}
