#include <array>
#include <optional>

#include <criterion/criterion.h>

#include "head_store_test.hpp"
#include "mustardwick/entry/cell_leader.hpp"
#include "mustardwick/wire/codec.hpp"
#include "src/mustardwick/aio/guard_test.hpp"

using namespace mustardwick;
using namespace mustardwick::entry;
using namespace mustardwick::entry::test;
using std::chrono::milliseconds;
using wire::message_type;

namespace
{

/// A leader with its store in one process.
struct leader_fixture : store_fixture
{
    explicit leader_fixture(std::uint16_t port)
        : store_fixture(port, store_fault::none, {}),
          peers(io, {"127.0.0.1", 0}, "secret", aio::test::ample_guard(),
                [](message_type, const std::string&, const auto&) {}),
          advice(io, {"127.0.0.1", 9}),
          leader(std::make_shared<cell_leader>(
              cell_leader::environment{io, clock, suspensions, options, client,
                                       peers, advice, metrics, processor},
              head_record{1, "a", "", 0, "", false}, store.version,
              [this](const std::optional<member_record>&)
              {
                  lost = true;
              }))
    {
        leader->start({});
        run_until(
            [this]
            {
                return call(message_type::count_waiting, queue_query{"q"});
            });
    }

    ~leader_fixture()
    {
        leader->stop();
        io.run_for(milliseconds(10));
    }

    leader_fixture(const leader_fixture&) = delete;
    leader_fixture& operator=(const leader_fixture&) = delete;

    template <typename Condition>
    void run_until(Condition&& condition)
    {
        const auto give_up = clock.now() + std::chrono::seconds(5);
        while (!condition() && clock.now() < give_up)
            io.run_one_for(milliseconds(20));
    }

    /// Returns whether the leader takes the call.
    template <typename Message>
    bool call(message_type type, const Message& message)
    {
        reply.reset();
        return leader->handle(type, wire::encode(message),
                              [this](std::string out)
                              {
                                  reply = std::move(out);
                              });
    }

    base::system_suspend_clock suspensions;
    settings options;
    processor_probe processor{clock};
    aio::peer_hub peers;
    platform::advice_client advice;
    bool lost = false;
    std::optional<std::string> reply;
    std::shared_ptr<cell_leader> leader;
};

} // namespace

struct stale_case
{
    message_type type;
    /// Another daemon has taken over without this one's knowledge.
    bool is_superseded;
    std::uint16_t port;
};

// Guards against a leader that was stopped while another one took over, and
// that calls a job unknown which the other one has accepted (review/3).
Test(stale_leader, does_not_call_a_job_unknown_unconfirmed)
{
    const std::array cases = {
        stale_case{message_type::cancel_job, false, 27480},
        stale_case{message_type::cancel_job, true, 27481},
        stale_case{message_type::query_job, false, 27482},
        stale_case{message_type::query_job, true, 27483},
    };
    for (const auto& it : cases)
    {
        leader_fixture cell(it.port);
        if (it.is_superseded)
        {
            ++cell.store.version;
            cell.store.value = "AQ==";
        }
        cr_assert(cell.call(it.type, job_query{"0123456789abcdef"}));
        cell.run_until(
            [&]
            {
                return cell.reply.has_value();
            });
        cr_assert(cell.reply.has_value());
        cr_assert_eq(cell.lost, it.is_superseded);
        const auto reply = wire::decode<job_reply>(*cell.reply);
        // An empty reply makes the gateway ask the other leader.
        cr_assert_eq(reply.has_value(), !it.is_superseded);
        if (reply)
            cr_assert_eq(reply->status, reply_status::unknown_job);
    }
}
