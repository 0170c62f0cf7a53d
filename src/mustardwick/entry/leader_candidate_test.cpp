#include "mustardwick/entry/leader_candidate.hpp"

#include <array>
#include <functional>

#include <boost/asio/steady_timer.hpp>
#include <cpprest/asyncrt_utils.h>
#include <criterion/criterion.h>

#include "head_store_test.hpp"
#include "mustardwick/jobs/fencing.hpp"
#include "mustardwick/wire/codec.hpp"

using namespace mustardwick;
using namespace mustardwick::entry;
using namespace mustardwick::entry::test;
using std::chrono::milliseconds;

namespace
{

/// A candidate with its store in one process.
struct candidate_fixture : store_fixture
{
    candidate_fixture(std::uint16_t port, std::string row)
        : store_fixture(port, store_fault::none, std::move(row)),
          candidate(std::make_shared<leader_candidate>(
              io, clock, client, member_record{"a", "127.0.0.1", 1, 1.0},
              leader_candidate::events{[this](head_record record, std::int64_t)
                                       {
                                           head = std::move(record);
                                           acquired_at = clock.now();
                                       },
                                       [](const head_record&) {},
                                       [this]
                                       {
                                           return configured;
                                       }}))
    {
    }

    ~candidate_fixture()
    {
        candidate->stop();
    }

    candidate_fixture(const candidate_fixture&) = delete;
    candidate_fixture& operator=(const candidate_fixture&) = delete;

    /// Returns whether the candidate acquires leadership within the given time.
    bool acquires_within(milliseconds time)
    {
        const auto give_up = clock.now() + time;
        while (!head && clock.now() < give_up)
            io.run_one_for(milliseconds(20));
        return head.has_value();
    }

    bool configured = true;
    std::optional<head_record> head;
    base::steady_time acquired_at;
    std::shared_ptr<leader_candidate> candidate;
};

/// A head row that names another daemon as leader.
std::string head_of_another(std::int64_t epoch)
{
    const auto bytes =
        wire::encode(head_record{epoch, "b", "127.0.0.1", 2, "t", false});
    return utility::conversions::to_base64(
        std::vector<unsigned char>(bytes.begin(), bytes.end()));
}

} // namespace

struct offer_case
{
    std::int64_t head_version;
    std::uint16_t port;
    bool acquired;
};

// Guards against a hand-over that first reads the head row, which took 0.3 s
// longer while the store was slow, and against a successor that acquires
// leadership on an outdated offer.
Test(leader_candidate, acquires_offered_leadership_with_one_call)
{
    const std::array cases = {offer_case{4, 27421, true},
                              offer_case{3, 27422, false}};
    for (const auto& it : cases)
    {
        candidate_fixture cell(it.port, "AQ==");
        cell.candidate->take_over({7, it.head_version});
        cr_assert_eq(cell.acquires_within(milliseconds(500)), it.acquired);
        cr_assert_eq(cell.store.calls, 1);
        if (cell.head)
            cr_assert_eq(cell.head->epoch, jobs::next_epoch(7));
    }
}

struct refused_case
{
    /// Leader whose host refuses connections.
    std::int64_t refused_epoch;
    /// The leader renews the head row as rarely as an idle leader does.
    bool renews;
    std::uint16_t port;
    milliseconds window;
    /// Whether the candidate acquires leadership within the window.
    bool acquired;
};

// Guards against waiting for the heartbeat timeout (1.2 s without a leader)
// although the leader's host refuses connections, and against a takeover from a
// newer leader, or from one that renews its leadership behind a path that
// rejects connections (11 leaders in 4 s while two failure domains could not
// reach each other).
Test(leader_candidate, replaces_a_refusing_leader_unless_it_renews)
{
    const std::array cases = {
        refused_case{7, false, 27423, milliseconds(500), true},
        // A leader whose host does not refuse connections is replaced after
        // 600 ms without a heartbeat.
        refused_case{6, false, 27424, milliseconds(590), false},
        refused_case{7, true, 27428, milliseconds(2000), false}};
    for (const auto& it : cases)
    {
        candidate_fixture cell(it.port, head_of_another(7));
        const auto heartbeat = cell.clock.now();
        cell.candidate->heartbeat_received(0);
        cell.candidate->start();
        cell.candidate->leader_connection_refused(it.refused_epoch);
        boost::asio::steady_timer renewal(cell.io);
        std::function<void()> renew = [&]
        {
            ++cell.store.version;
            renewal.expires_after(milliseconds(350));
            renewal.async_wait(
                [&](boost::system::error_code ec)
                {
                    if (!ec)
                        renew();
                });
        };
        if (it.renews)
            renew();
        const bool acquired = cell.acquires_within(it.window);
        // However late this process runs, a candidate that may not replace the
        // leader waits for the whole window from the heartbeat on.
        const bool too_early =
            cell.head && cell.acquired_at < heartbeat + it.window;
        cr_assert(it.acquired ? acquired : !too_early, "refused epoch %d",
                  int(it.refused_epoch));
        if (cell.head)
            cr_assert_eq(cell.head->epoch, jobs::next_epoch(7));
    }
}

struct unresponsive_case
{
    store_fault fault;
    std::uint16_t port;
    bool acquired;
};

// Guards against callers that wait too long after the leader's host becomes
// unreachable (1.2 s without a leader), and against replacing a leader whose
// renewals are delayed by a slow store.
Test(leader_candidate, replaces_an_unresponsive_leader)
{
    const std::array cases = {
        unresponsive_case{store_fault::none, 27425, true},
        unresponsive_case{store_fault::slow, 27426, false}};
    for (const auto& it : cases)
    {
        candidate_fixture cell(it.port, head_of_another(7));
        cell.store.fault = it.fault;
        cell.candidate->heartbeat_received(0);
        cell.candidate->start();
        cr_assert_eq(cell.acquires_within(milliseconds(1100)), it.acquired);
    }
}

struct succession_case
{
    const char* name;
    int tier;
    bool released;
    std::uint16_t port;
    /// Times between which the candidate acquires leadership.
    int min_ms;
    int max_ms;
};

// Guards against hosts of any size racing for leadership on equal terms: one
// with a narrow link led 350 workers while six large hosts were there.
Test(leader_candidate, waits_for_more_suitable_hosts)
{
    const std::array cases = {
        succession_case{"best, released", 0, true, 27461, 0, 700},
        succession_case{"unsuited, released", 2, true, 27462, 800, 1600},
        succession_case{"best, silent leader", 0, false, 27463, 400, 1300},
        succession_case{"unsuited, silent leader", 2, false, 27464, 1000, 2200},
    };
    for (const auto& it : cases)
    {
        const auto bytes =
            wire::encode(head_record{7, "b", "127.0.0.1", 2, "t", it.released});
        candidate_fixture cell(
            it.port, utility::conversions::to_base64(std::vector<unsigned char>(
                         bytes.begin(), bytes.end())));
        cell.candidate->heartbeat_received(it.tier);
        cell.candidate->start();
        cr_assert_not(cell.acquires_within(milliseconds(it.min_ms)), "%s",
                      it.name);
        cr_assert(cell.acquires_within(milliseconds(it.max_ms - it.min_ms)),
                  "%s", it.name);
        cr_assert_eq(cell.head->epoch, jobs::next_epoch(7), "%s", it.name);
    }
}

struct unconfigured_case
{
    const char* name;
    bool released;
    bool offered;
    std::uint16_t port;
};

// Guards against a leader that has no configuration yet: behind a path that
// needs seconds for it, it started recovered jobs beyond their account's limit.
Test(leader_candidate, waits_for_a_configuration)
{
    const std::array cases = {
        unconfigured_case{"released", true, false, 27465},
        unconfigured_case{"silent leader", false, false, 27466},
        unconfigured_case{"offered", false, true, 27467}};
    for (const auto& it : cases)
    {
        const auto bytes =
            wire::encode(head_record{7, "b", "127.0.0.1", 2, "t", it.released});
        candidate_fixture cell(
            it.port, utility::conversions::to_base64(std::vector<unsigned char>(
                         bytes.begin(), bytes.end())));
        cell.configured = false;
        cell.candidate->start();
        cell.candidate->heartbeat_received(0);
        if (it.offered)
            cell.candidate->take_over({7, 4});
        cr_assert_not(cell.acquires_within(milliseconds(1800)), "%s", it.name);
        cell.configured = true;
        cr_assert(cell.acquires_within(milliseconds(700)), "%s", it.name);
        cr_assert_eq(cell.head->epoch, jobs::next_epoch(7), "%s", it.name);
    }
}
