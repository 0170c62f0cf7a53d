#include <array>
#include <string>

#include <criterion/criterion.h>
#include <sys/socket.h>

#include "testing/scenario/socket.hpp"
#include "testing/scenario/statement.hpp"
#include "testing/scenario/tcp_relay.hpp"
#include "testing/scenario/udp_relay.hpp"

using namespace mustardwick::testing;

namespace
{

constexpr int receive_timeout_ms = 2000;
constexpr int no_data_wait_ms = 150;

void send_text(const descriptor& socket, const std::string& text)
{
    send(socket.get(), text.data(), text.size(), 0);
}

std::string receive_text(const descriptor& socket, int time_ms)
{
    if (!wait_readable(socket, time_ms))
        return "";
    std::array<char, 64> buf{};
    const auto n = recv(socket.get(), buf.data(), buf.size(), 0);
    return n > 0 ? std::string(buf.data(), static_cast<std::size_t>(n)) : "";
}

/// A connection through a relay to a server in the test.
struct tcp_fixture
{
    descriptor listener = bind_loopback(socket_kind::tcp, 0);
    tcp_relay relay{port_of(listener)};
    descriptor client;
    descriptor server;

    tcp_fixture()
    {
        connect();
    }

    void connect()
    {
        client = connect_loopback(socket_kind::tcp, relay.port());
        wait_readable(listener, receive_timeout_ms);
        server = descriptor(accept(listener.get(), nullptr, nullptr));
    }
};

} // namespace

// Guards against words, options, comments or quotes being parsed wrongly.
Test(statement, splits_words_options_and_comments)
{
    std::vector<std::string> errors;
    const auto lines = parse_scenario("# comment\n"
                                      "load l1 rate=40 for=2s # rest\n"
                                      "expect load l1 done>=100\n"
                                      "put teams t payload='a b=c'\n",
                                      errors);
    cr_assert(errors.empty());
    cr_assert_eq(lines.size(), 3);
    cr_assert_eq(lines[0].line, 2);
    cr_assert_eq(lines[0].duration("for", milliseconds{0}).count(), 2000);
    cr_assert_eq(lines[0].words.size(), 1);
    cr_assert_eq(lines[1].option("done>"), "100");
    cr_assert_eq(lines[2].option("payload"), "a b=c");
    parse_scenario("wait '1s\n", errors);
    cr_assert_eq(errors.size(), 1);
}

// Guards against a cut that loses TCP data or also blocks the other direction.
Test(tcp_relay, delays_only_the_cut_direction)
{
    tcp_fixture it;
    it.relay.link().set_cut(flow::forward, true);
    send_text(it.client, "hello");
    send_text(it.server, "back");
    cr_assert_eq(receive_text(it.client, receive_timeout_ms), "back");
    cr_assert_eq(receive_text(it.server, no_data_wait_ms), "");
    it.relay.link().set_cut(flow::forward, false);
    cr_assert_eq(receive_text(it.server, receive_timeout_ms), "hello");
}

// Guards against a blackhole that also affects connections opened later.
Test(tcp_relay, blackholes_only_open_connections)
{
    tcp_fixture it;
    send_text(it.client, "first");
    cr_assert_eq(receive_text(it.server, receive_timeout_ms), "first");
    it.relay.link().blackhole_connections();
    send_text(it.client, "second");
    cr_assert_eq(receive_text(it.server, no_data_wait_ms), "");
    it.connect();
    send_text(it.client, "third");
    cr_assert_eq(receive_text(it.server, receive_timeout_ms), "third");
}

// Guards against datagrams that pass a cut and replies that miss the sender.
Test(udp_relay, drops_datagrams_while_cut)
{
    const auto server = bind_loopback(socket_kind::udp, 0);
    udp_relay relay(port_of(server));
    const auto client = connect_loopback(socket_kind::udp, relay.port());
    relay.link().set_cut(flow::forward, true);
    send_text(client, "lost");
    cr_assert_eq(receive_text(server, no_data_wait_ms), "");
    relay.link().set_cut(flow::forward, false);
    send_text(client, "kept");
    std::array<char, 64> buf{};
    sockaddr_in sender{};
    socklen_t size = sizeof sender;
    cr_assert(wait_readable(server, receive_timeout_ms));
    cr_assert_eq(recvfrom(server.get(), buf.data(), buf.size(), 0,
                          reinterpret_cast<sockaddr*>(&sender), &size),
                 4);
    sendto(server.get(), "answer", 6, 0, reinterpret_cast<sockaddr*>(&sender),
           size);
    cr_assert_eq(receive_text(client, receive_timeout_ms), "answer");
}

// Guards against a scenario that fails because other programs use all ports of
// its first block.
Test(ports, are_found_beyond_a_used_block)
{
    constexpr int more_than_a_block = 60;
    for (int n = 0; n < more_than_a_block; ++n)
        cr_assert(find_free_port().has_value(), "%d", n);
}
