#include "mustardwick/coordination/membership.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <criterion/criterion.h>

#include "mustardwick/coordination/membership_service.hpp"
#include "mustardwick/wire/codec.hpp"

using namespace mustardwick;
using namespace mustardwick::coordination;
using base::milliseconds;
using wire::member_state;
using wire::message_type;

namespace
{

const wire::endpoint address_b{"10.0.0.2", 7000};
const wire::endpoint address_c{"10.0.0.3", 7000};

membership_datagram message_of(message_type type, std::uint64_t sequence,
                               const std::string& sender,
                               std::vector<wire::member_claim> claims = {})
{
    membership_datagram out{address_b, type, sequence, {}};
    out.message.sender = sender;
    out.message.incarnation = 1;
    out.message.claims = std::move(claims);
    return out;
}

membership two_peers()
{
    membership out("a", 1, 5);
    const std::array rows = {peer{"a", 1, {"10.0.0.1", 7000}},
                             peer{"b", 1, address_b}, peer{"c", 1, address_c}};
    out.set_peers(rows);
    return out;
}

struct claim_case
{
    std::uint64_t incarnation;
    member_state state;
    member_state expected;
};

bool eventually(const std::function<bool()>& condition)
{
    for (int n = 0; n < 200 && !condition(); ++n)
        std::this_thread::sleep_for(milliseconds{50});
    return condition();
}

} // namespace

// Guards against a claim that overwrites a newer one, and against accepting the
// highest incarnation, which could not be refuted.
Test(membership, claims_are_ordered_by_incarnation_and_state)
{
    const std::array cases = {
        claim_case{4, member_state::dead, member_state::suspect},
        claim_case{5, member_state::alive, member_state::suspect},
        claim_case{5, member_state::dead, member_state::dead},
        claim_case{6, member_state::alive, member_state::alive},
        claim_case{~0ULL, member_state::dead, member_state::suspect},
    };
    const base::manual_clock clock;
    for (const auto& it : cases)
    {
        auto node = two_peers();
        const std::vector<wire::member_claim> claims = {
            {"c", 5, member_state::suspect}, {"c", it.incarnation, it.state}};
        node.receive(clock.now(),
                     message_of(message_type::probe, 1, "b", claims));
        cr_assert_eq(node.peer_state("c"), it.expected);
    }
}

// Guards against a member that does not refute a claim that it is dead.
Test(membership, refutes_claims_about_itself)
{
    const base::manual_clock clock;
    auto node = two_peers();
    const auto out =
        node.receive(clock.now(), message_of(message_type::probe, 9, "b",
                                             {{"a", 3, member_state::dead}}));
    cr_assert_eq(out.size(), 1);
    cr_assert_eq(out[0].sequence, 9);
    cr_assert_eq(out[0].message.incarnation, 4);
}

// Guards against an answer that is accepted for a probe of another member.
Test(membership, an_answer_counts_only_for_the_probed_member)
{
    base::manual_clock clock;
    auto node = two_peers();
    const auto probes = node.tick(clock.now());
    cr_assert_eq(probes.size(), 1);
    const bool to_b = probes[0].remote == address_b;
    node.receive(clock.now(), message_of(message_type::probe_answer,
                                         probes[0].sequence, to_b ? "c" : "b"));
    clock.advance(milliseconds{250});
    const auto indirect = node.tick(clock.now());
    cr_assert_eq(indirect.size(), 1);
    cr_assert_eq(indirect[0].type, message_type::indirect_probe);
    clock.advance(milliseconds{300});
    node.tick(clock.now());
    cr_assert_eq(node.peer_state(to_b ? "b" : "c"), member_state::suspect);
}

// Guards against suspicion of all peers after this process was paused.
Test(membership, own_pause_raises_no_suspicion)
{
    base::manual_clock clock;
    auto node = two_peers();
    node.tick(clock.now());
    clock.advance(milliseconds{20'000});
    node.tick(clock.now());
    cr_assert_eq(node.peer_state("b"), member_state::alive);
    cr_assert_eq(node.peer_state("c"), member_state::alive);
}

// Guards against a highest configuration version that goes back, and against a
// wrong time since the last datagram.
Test(membership, reports_config_version_and_time_since_datagram)
{
    base::manual_clock clock;
    auto node = two_peers();
    node.set_config_version(3);
    auto input = message_of(message_type::probe, 1, "b");
    input.message.config_version = 8;
    node.receive(clock.now(), input);
    input.message.config_version = 5;
    node.receive(clock.now(), input);
    clock.advance(milliseconds{70});
    cr_assert_eq(node.highest_config_version(), 8);
    cr_assert_eq(node.since_last_datagram("b", clock.now()), milliseconds{70});
    cr_assert_not(node.since_last_datagram("c", clock.now()).has_value());
    cr_assert_not(node.peer_state("unknown").has_value());
}

// Guards against a restarted peer that stays dead, and against a removed peer
// that keeps a state, after the member rows have changed.
Test(membership, rows_add_restart_and_remove_peers)
{
    const base::manual_clock clock;
    auto node = two_peers();
    node.receive(clock.now(), message_of(message_type::probe, 1, "b",
                                         {{"c", 1, member_state::dead}}));
    const std::array rows = {peer{"c", 2, address_c}};
    node.set_peers(rows);
    cr_assert_eq(node.peer_state("c"), member_state::alive);
    cr_assert_not(node.peer_state("b").has_value());
}

// Guards against accepting datagrams that are malformed, oversized, of another
// protocol or authenticated with another secret.
Test(membership_service, exchanges_states_and_drops_invalid_datagrams,
     .timeout = 30)
{
    const base::system_clock clock;
    base::metrics metrics;
    const wire::endpoint any{"127.0.0.1", 0};
    membership_service a({any, "secret", "a", 1}, clock, metrics);
    membership_service b({any, "secret", "b", 1}, clock, metrics);
    cr_assert(a.start() && b.start());
    const std::array rows = {peer{"a", 1, {"127.0.0.1", a.port()}},
                             peer{"b", 1, {"127.0.0.1", b.port()}}};
    a.set_peers(rows);
    b.set_peers(rows);
    b.set_config_version(12);
    cr_assert(eventually(
        [&]
        {
            return a.highest_config_version() == 12;
        }));
    boost::asio::io_context io;
    boost::asio::ip::udp::socket socket(
        io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const boost::asio::ip::udp::endpoint to(
        boost::asio::ip::make_address("127.0.0.1"), a.port());
    const auto good =
        wire::encode(wire::membership_message{"c", 1, 99, "", {}});
    const auto odd = wire::encode(wire::membership_message{
        "c", 1, 99, "", {{"b", 9, static_cast<member_state>(7)}}});
    const std::array datagrams = {
        std::string("noise"),
        std::string(2000, 'x'),
        std::string(),
        wire::encode_frame({message_type::probe, 1, good}, "other"),
        wire::encode_frame({message_type::notify_inbox, 1, good}, "secret"),
        wire::encode_frame({message_type::probe, 1, "short"}, "secret"),
        wire::encode_frame({message_type::probe, 1, odd}, "secret"),
        wire::encode_frame(
            {message_type::probe, 1, good + std::string(1200, 'x')}, "secret")};
    for (const auto& it : datagrams)
        socket.send_to(boost::asio::buffer(it), to);
    cr_assert(eventually(
        [&]
        {
            return metrics.count("mustardwick_datagrams_dropped_total") ==
                   datagrams.size();
        }));
    cr_assert_eq(a.highest_config_version(), 12);
    cr_assert_gt(metrics.count("mustardwick_membership_bytes_total"), 0);
    b.stop();
    cr_assert(eventually(
        [&]
        {
            return a.peer_state("b") == member_state::dead;
        }));
}
