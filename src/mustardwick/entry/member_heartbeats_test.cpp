#include "mustardwick/entry/member_heartbeats.hpp"

#include <array>

#include <criterion/criterion.h>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/wire/codec.hpp"
#include "src/mustardwick/aio/guard_test.hpp"

using namespace mustardwick;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

struct heartbeat_case
{
    bool store_failing;
    std::uint16_t port;
    int min_heartbeats;
    int max_heartbeats;
};

// Guards against a leader that learns late which member has access to the store
// when its own access fails (0.7 s until the hand-over).
Test(member_heartbeats, sends_more_often_while_the_store_fails)
{
    base::set_up_log("test", base::log_level::error);
    const std::array cases = {heartbeat_case{false, 27441, 1, 3},
                              heartbeat_case{true, 27443, 5, 8}};
    for (const auto& it : cases)
    {
        boost::asio::io_context io;
        base::system_clock clock;
        const std::string secret = "secret";
        const wire::endpoint leader{"127.0.0.1", it.port};
        const wire::endpoint member{"127.0.0.1", std::uint16_t(it.port + 1)};
        int heartbeats = 0;
        aio::peer_hub from(io, leader, secret, aio::test::ample_guard(),
                           [](auto, const auto&, const auto&) {});
        aio::peer_hub to(io, member, secret, aio::test::ample_guard(),
                         [&](auto, const auto&, const auto& respond)
                         {
                             ++heartbeats;
                             respond(wire::encode(heartbeat_reply{}));
                         });
        cr_assert(from.start() && to.start(), "%s",
                  base::last_error().text().c_str());
        const auto sender = std::make_shared<member_heartbeats>(
            io, clock, from,
            leader_heartbeat{1, "a", leader.address, leader.port, 0, false},
            [](std::int64_t) {});
        sender->start();
        sender->add({"b", member.address, member.port, 1.0});
        io.run_for(milliseconds(300));
        heartbeats = 0;
        sender->set_store_failing(it.store_failing);
        io.run_for(milliseconds(490));
        cr_assert_geq(heartbeats, it.min_heartbeats);
        cr_assert_leq(heartbeats, it.max_heartbeats);
        sender->stop();
    }
}

// Guards against a leader that takes a member behind a path that rejects
// connections for terminated: the member may have taken over, and the leader
// would go on renewing leases of workers that the member gives up.
Test(member_heartbeats, counts_a_refusing_member_as_possible_successor)
{
    base::set_up_log("test", base::log_level::error);
    boost::asio::io_context io;
    base::system_clock clock;
    const std::string secret = "secret";
    const auto ignore = [](auto, const auto&, const auto&) {};
    const auto reply = [](auto, const auto&, const auto& respond)
    {
        respond(wire::encode(heartbeat_reply{}));
    };
    const wire::endpoint addresses[] = {
        {"127.0.0.1", 27451}, {"127.0.0.1", 27453}, {"127.0.0.1", 27455}};
    aio::peer_hub leader(io, addresses[0], secret, aio::test::ample_guard(),
                         ignore);
    aio::peer_hub answering(io, addresses[1], secret, aio::test::ample_guard(),
                            reply);
    aio::peer_hub refusing(io, addresses[2], secret, aio::test::ample_guard(),
                           reply);
    cr_assert(leader.start() && answering.start() && refusing.start(), "%s",
              base::last_error().text().c_str());
    const auto sender = std::make_shared<member_heartbeats>(
        io, clock, leader,
        leader_heartbeat{1, "a", addresses[0].address, addresses[0].port, 0,
                         false},
        [](std::int64_t) {});
    sender->start();
    sender->add({"b", addresses[1].address, addresses[1].port, 1.0});
    sender->add({"c", addresses[2].address, addresses[2].port, 1.0});
    io.run_for(milliseconds(500));
    refusing.stop();
    const auto stopped = clock.now();
    io.run_for(milliseconds(1000));
    const auto confirmed = sender->confirmed();
    cr_assert(confirmed.has_value());
    cr_assert(*confirmed <= stopped);
    sender->stop();
}
