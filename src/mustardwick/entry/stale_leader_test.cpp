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

struct queue_case
{
    const char* name;
    /// Queues of the leader's configurations, one after the other.
    std::vector<std::string> configured;
    /// The job is submitted after the first configuration too.
    bool is_repeated;
    std::uint16_t port;
    bool accepted;
};

// Guards against jobs that never run: a gateway with an older configuration
// passed on a job of a queue that had been renamed, and the leader, which knows
// no terms of that name, accepted it.
Test(stale_leader, accepts_jobs_of_queues_that_it_knows)
{
    const std::array cases = {
        queue_case{"configured", {"q"}, false, 27484, true},
        queue_case{"renamed", {"q", "r"}, false, 27485, false},
        queue_case{"renamed, job is known", {"q", "r"}, true, 27486, true},
        queue_case{"not configured yet", {"r"}, false, 27487, false},
        queue_case{"came back", {"r", "q"}, false, 27488, true},
    };
    for (const auto& it : cases)
    {
        leader_fixture cell(it.port);
        jobs::job job;
        job.id = "0123456789abcdef";
        job.queue = "q";
        job.steps.resize(1);
        operator_state state;
        state.configuration.emplace();
        for (const auto& queue : it.configured)
        {
            ++state.configuration->version;
            state.configuration->queues = {{queue, {}}};
            state.configuration->queues[queue].name = queue;
            cell.leader->configure(state);
            if (it.is_repeated)
                cell.call(message_type::submit_job, submission{job});
        }
        cr_assert_eq(cell.call(message_type::submit_job, submission{job}),
                     it.accepted, "%s", it.name);
    }
}
