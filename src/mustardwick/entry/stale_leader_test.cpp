#include <array>

#include "leader_fixture_test.hpp"

using namespace mustardwick;
using namespace mustardwick::entry;
using namespace mustardwick::entry::test;
using wire::message_type;

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
