#include "mustardwick/entry/configuration_fetch.hpp"

#include <deque>
#include <vector>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

namespace
{

/// A leader whose answers the test delivers or loses.
struct leader_stub
{
    void call(const wire::endpoint&, wire::message_type,
              const std::string& payload, milliseconds, aio::peer_callback done)
    {
        ++calls;
        open.push_back({payload, std::move(done)});
    }

    void answer()
    {
        auto [payload, done] = std::move(open.front());
        open.pop_front();
        const auto reply = is_earlier_release
                               ? text
                               : configuration_reply(payload, version, text);
        sent_bytes += reply.size();
        done({aio::peer_failure::none, reply});
    }

    void reply(std::string payload)
    {
        const auto done = std::move(open.front().second);
        open.pop_front();
        done({aio::peer_failure::none, std::move(payload)});
    }

    void lose()
    {
        auto [payload, done] = std::move(open.front());
        open.pop_front();
        done({aio::peer_failure::timed_out, {}});
    }

    bool is_earlier_release = false;
    std::int64_t version = 7;
    std::string text;
    int calls = 0;
    std::size_t sent_bytes = 0;
    std::deque<std::pair<std::string, aio::peer_callback>> open;
};

struct fetch_case
{
    const char* name;
    std::size_t bytes;
    /// Every so many blocks one is lost.
    int lost_block;
    /// The leader learns of a newer version after so many blocks.
    int change_after;
    bool is_earlier_release;
    /// Bytes that the leader may send beyond the text.
    std::size_t surplus;
};

/// Letters that differ from block to block.
std::string make_text(std::size_t n, char first)
{
    std::string out(n, first);
    for (std::size_t it = 0; it < n; ++it)
        out[it] = char(first + it / 1000 % 20);
    return out;
}

} // namespace

// Guards against a configuration that is fetched as a whole and begun again
// after each loss: above some size no daemon with a slow link ever has it, and
// the links of all daemons stay full.
Test(configuration_fetch, keeps_what_has_arrived)
{
    constexpr std::size_t block = configuration_block_bytes;
    const fetch_case cases[] = {
        {"one block", 100, 0, 0, false, 100},
        {"many blocks", 25 * block + 17, 0, 0, false, 2'600},
        {"whole blocks", 2 * block, 0, 0, false, 200},
        {"every second block is lost", 8 * block, 2, 0, false, 800},
        {"changes on the way", 8 * block, 0, 3, false, 4 * block},
        {"earlier release", 8 * block, 0, 0, true, 0},
    };
    const base::system_clock clock;
    for (const auto& it : cases)
    {
        leader_stub leader;
        leader.is_earlier_release = it.is_earlier_release;
        leader.text = make_text(it.bytes, 'a');
        std::string received;
        using fetch = configuration_fetch<leader_stub>;
        const auto tested =
            std::make_shared<fetch>(clock, leader,
                                    fetch::events{[]
                                                  {
                                                      return false;
                                                  },
                                                  [&](const std::string& text)
                                                  {
                                                      received = text;
                                                  }});
        for (int n = 1; received.empty() && n < 100; ++n)
        {
            if (n == it.change_after)
            {
                leader.text = make_text(it.bytes + 5, 'c');
                ++leader.version;
            }
            tested->advance({"127.0.0.1", 1}, leader.version);
            cr_assert_eq(leader.open.size(), 1, "%s", it.name);
            if (it.lost_block > 0 && n % it.lost_block == 0)
                leader.lose();
            else
                leader.answer();
        }
        cr_expect(received == leader.text, "%s: %zu of %zu bytes", it.name,
                  received.size(), leader.text.size());
        cr_expect_leq(leader.sent_bytes, leader.text.size() + it.surplus,
                      "%s: %zu", it.name, leader.sent_bytes);
    }
}

// Guards against a configuration that is received twice at the same time, from
// the store and from the leader, so that a slow link carries neither in time.
Test(configuration_fetch, leaves_the_link_to_the_store_while_that_delivers)
{
    const base::system_clock clock;
    leader_stub leader;
    leader.text = make_text(4 * configuration_block_bytes, 'a');
    bool store_delivers = true;
    std::string received;
    using fetch = configuration_fetch<leader_stub>;
    const auto tested =
        std::make_shared<fetch>(clock, leader,
                                fetch::events{[&]
                                              {
                                                  return store_delivers;
                                              },
                                              [&](const std::string& text)
                                              {
                                                  received = text;
                                              }});
    const auto advance = [&]
    {
        tested->advance({"127.0.0.1", 1}, leader.version);
    };
    advance();
    cr_assert_eq(leader.calls, 0);
    store_delivers = false;
    advance();
    store_delivers = true;
    leader.answer();
    advance();
    cr_assert_eq(leader.calls, 1);
    // The store stops delivering: the leader continues where it was.
    store_delivers = false;
    advance();
    while (!leader.open.empty())
        leader.answer();
    cr_assert_eq(leader.calls, 4);
    cr_assert(received == leader.text);
}

namespace
{

struct odd_block_case
{
    const char* name;
    configuration_block block;
};

using tested_fetch = configuration_fetch<leader_stub>;

std::shared_ptr<tested_fetch> make_fetch(const base::clock& clock,
                                         leader_stub& leader,
                                         std::vector<std::string>& received)
{
    return std::make_shared<tested_fetch>(
        clock, leader,
        tested_fetch::events{[]
                             {
                                 return false;
                             },
                             [&](const std::string& text)
                             {
                                 received.push_back(text);
                             }});
}

} // namespace

// Guards against a block that makes the daemon ask for the next one without
// end, grow without a limit, or take an incomplete text for a configuration.
Test(configuration_fetch, refuses_blocks_that_lead_nowhere)
{
    const odd_block_case cases[] = {
        {"empty", {7, 100, 0, ""}},
        {"without end", {7, std::uint64_t(1) << 62U, 0, "text"}},
        {"longer than the whole", {7, 2, 0, "text"}},
        {"behind a gap", {7, 100, 50, "text"}},
        {"behind the end", {7, 100, std::uint64_t(-1), "text"}},
    };
    const base::system_clock clock;
    for (const auto& it : cases)
    {
        leader_stub leader;
        std::vector<std::string> received;
        const auto tested = make_fetch(clock, leader, received);
        tested->advance({"127.0.0.1", 1}, leader.version);
        leader.reply(wire::encode(it.block));
        cr_expect_eq(leader.calls, 1, "%s", it.name);
        cr_expect(received.empty(), "%s", it.name);
        // The next heartbeat begins anew.
        leader.text = make_text(100, 'a');
        tested->advance({"127.0.0.1", 1}, leader.version);
        leader.answer();
        cr_expect(received == std::vector{leader.text}, "%s", it.name);
    }
}

// Guards against an empty configuration that is passed on when the store
// delivers the whole while a block is on its way.
Test(configuration_fetch, ignores_a_block_that_is_not_needed_any_more)
{
    const base::system_clock clock;
    leader_stub leader;
    leader.text = make_text(4 * configuration_block_bytes, 'a');
    std::vector<std::string> received;
    const auto tested = make_fetch(clock, leader, received);
    tested->advance({"127.0.0.1", 1}, leader.version);
    leader.answer();
    tested->clear();
    leader.answer();
    cr_assert(received.empty());
    cr_assert(leader.open.empty());
}

// Guards against a configuration that this daemon refuses and that it receives
// again with each heartbeat.
Test(configuration_fetch, asks_once_for_a_version)
{
    const base::system_clock clock;
    for (const bool is_earlier_release : {false, true})
    {
        leader_stub leader;
        leader.is_earlier_release = is_earlier_release;
        leader.text = make_text(100, 'a');
        std::vector<std::string> received;
        const auto tested = make_fetch(clock, leader, received);
        const auto heartbeat = [&]
        {
            tested->advance({"127.0.0.1", 1}, leader.version);
            if (!leader.open.empty())
                leader.answer();
        };
        for (int it = 0; it < 5; ++it)
            heartbeat();
        cr_expect_eq(received.size(), 1);
        ++leader.version;
        heartbeat();
        cr_expect_eq(received.size(), 2);
    }
}
