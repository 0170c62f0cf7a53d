#include <array>

#include "leader_fixture_test.hpp"

using namespace mustardwick;
using namespace mustardwick::entry;
using namespace mustardwick::entry::test;

namespace
{

constexpr auto job_id = "0123456789abcdef";

jobs::job one_task_job()
{
    jobs::job out;
    out.id = job_id;
    out.queue = "q";
    out.steps.emplace_back();
    return out;
}

/// Sends a call and waits for the leader's answer.
template <typename Message>
job_reply answer_of(leader_fixture& cell, message_type type,
                    const Message& message)
{
    cr_assert(cell.call(type, message));
    cell.run_until(
        [&]
        {
            return cell.reply.has_value();
        });
    cr_assert(cell.reply.has_value());
    const auto out = wire::decode<job_reply>(*cell.reply);
    cr_assert(out.has_value());
    return *out;
}

} // namespace

struct order_case
{
    const char* name;
    std::vector<message_type> calls;
    /// The last submission is accepted, or was before.
    bool is_accepted;
    reply_status last_cancelling;
    std::uint16_t port;
};

// Guards against running a job whose cancelling was answered before it arrived:
// its submission had waited in the socket of a frozen gateway (review/8).
Test(withdrawn_jobs, do_not_run_when_their_submission_arrives)
{
    using enum message_type;
    using enum reply_status;
    const std::array cases = {
        order_case{"submission after its cancelling",
                   {cancel_job, submit_job},
                   false,
                   unknown_job,
                   27'500},
        order_case{"cancelled twice",
                   {cancel_job, cancel_job, submit_job},
                   false,
                   unknown_job,
                   27'501},
        order_case{"cancelled between two submissions",
                   {submit_job, cancel_job, submit_job},
                   true,
                   done,
                   27'502},
    };
    for (const auto& it : cases)
    {
        leader_fixture cell(it.port);
        operator_state state;
        state.configuration.emplace();
        state.configuration->version = 1;
        state.configuration->queues["q"].name = "q";
        cell.leader->configure(state);
        job_reply last;
        for (const auto type : it.calls)
        {
            last = type == submit_job
                       ? answer_of(cell, type, submission{one_task_job()})
                       : answer_of(cell, type, job_query{job_id});
            if (type == cancel_job)
                cr_assert_eq(last.status, it.last_cancelling, "%s", it.name);
        }
        cr_assert_eq(last.status == done, it.is_accepted, "%s", it.name);
        const auto shown = answer_of(cell, query_job, job_query{job_id});
        cr_assert_eq(shown.status, it.is_accepted ? done : unknown_job, "%s",
                     it.name);
        if (it.is_accepted)
            cr_assert_eq(shown.state, jobs::job_state::cancelled, "%s",
                         it.name);
    }
}
