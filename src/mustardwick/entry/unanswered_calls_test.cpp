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

/// A leader that accepts jobs of queue "q".
struct serving_leader : leader_fixture
{
    explicit serving_leader(std::uint16_t port) : leader_fixture(port)
    {
        operator_state state;
        state.configuration.emplace();
        state.configuration->version = 1;
        state.configuration->queues["q"].name = "q";
        leader->configure(state);
    }
};

bool take(leader_fixture& cell, message_type type)
{
    if (type == message_type::submit_job)
        return cell.call(type, submission{one_task_job()});
    return cell.call(type, job_query{job_id});
}

bool is_unknown(const leader_fixture& cell)
{
    if (!cell.reply)
        return false;
    const auto out = wire::decode<job_reply>(*cell.reply);
    return out && out->status == reply_status::unknown_job;
}

} // namespace

enum class leadership_end
{
    superseded,
    stopped
};

struct open_call_case
{
    message_type type;
    /// The job was submitted before and is not stored yet.
    bool is_submitted;
    leadership_end how;
    std::uint16_t port;
};

// Guards against a leader that drops the calls that it has taken: their callers
// waited 1.5 s for a timeout.
Test(unanswered_calls, are_answered_when_leadership_ends)
{
    using enum leadership_end;
    const std::array cases = {
        open_call_case{message_type::submit_job, false, superseded, 18981},
        open_call_case{message_type::submit_job, true, superseded, 18982},
        open_call_case{message_type::query_job, false, superseded, 18983},
        open_call_case{message_type::cancel_job, false, superseded, 18984},
        open_call_case{message_type::cancel_job, true, superseded, 18985},
        open_call_case{message_type::submit_job, false, stopped, 18986},
        open_call_case{message_type::submit_job, true, stopped, 18987},
        open_call_case{message_type::query_job, false, stopped, 18988},
        open_call_case{message_type::cancel_job, false, stopped, 18989},
        open_call_case{message_type::cancel_job, true, stopped, 18990},
    };
    for (const auto& it : cases)
    {
        serving_leader cell(it.port);
        cell.store.fault = store_fault::unresponsive;
        if (it.is_submitted)
            cr_assert(take(cell, message_type::submit_job));
        cr_assert(take(cell, it.type));
        cell.io.run_for(milliseconds(50));
        cr_assert_not(cell.reply.has_value());
        if (it.how == stopped)
            cell.leader->stop();
        else
            cell.leader->superseded();
        cr_assert(cell.reply.has_value());
        cr_assert(cell.reply->empty());
        cr_assert_eq(cell.lost, it.how == superseded);
        cr_assert_not(take(cell, it.type));
    }
}

struct failing_store_case
{
    message_type type;
    store_fault fault;
    /// The store has failed for long when the call arrives.
    bool is_late;
    std::uint16_t port;
};

// Guards against callers that wait until their deadline for the state of a job
// that the leader does not know, because only the store could confirm that.
Test(unanswered_calls, of_unknown_jobs_are_refused_while_the_store_fails)
{
    constexpr milliseconds unresponsive_time{2000};
    const std::array cases = {
        failing_store_case{message_type::query_job, store_fault::refused, false,
                           18991},
        failing_store_case{message_type::query_job, store_fault::unresponsive,
                           false, 18992},
        failing_store_case{message_type::query_job, store_fault::unresponsive,
                           true, 18993},
        failing_store_case{message_type::cancel_job, store_fault::refused,
                           false, 18994},
        failing_store_case{message_type::cancel_job, store_fault::unresponsive,
                           true, 18995},
    };
    for (const auto& it : cases)
    {
        serving_leader cell(it.port);
        cell.store.fault = it.fault;
        const auto answered = [&]
        {
            return cell.reply.has_value();
        };
        if (it.is_late)
            cell.io.run_for(unresponsive_time);
        const auto begin = cell.clock.now();
        cr_assert(take(cell, it.type));
        cell.run_until(answered, unresponsive_time);
        const auto waited =
            std::chrono::duration_cast<milliseconds>(cell.clock.now() - begin);
        cr_assert(answered(), "port %d: no answer after %d ms", int(it.port),
                  int(waited.count()));
        if (it.is_late)
            cr_assert_lt(waited, milliseconds(100));
        const auto reply = wire::decode<job_reply>(*cell.reply);
        cr_assert(reply.has_value());
        // Gateways of earlier releases ask again.
        cr_assert_eq(reply->status, reply_status::not_leader);
        cr_assert_gt(reply->retry_after_ms, 0);
        // Once the store answers, the leader does.
        cell.store.fault = store_fault::none;
        cell.run_until(
            [&, open = false]() mutable
            {
                if (is_unknown(cell))
                    return true;
                if (cell.reply || !open)
                    open = take(cell, it.type);
                return is_unknown(cell);
            });
        cr_assert(is_unknown(cell));
    }
}

struct ended_job_case
{
    bool is_ended;
    /// The leader releases leadership; otherwise its authority expires.
    bool is_releasing;
    std::uint16_t port;
};

// Guards against queries of ended jobs without an answer while the store fails
// and one member is silent, so that the leader has no authority.
Test(unanswered_calls, of_ended_jobs_need_no_authority)
{
    constexpr milliseconds authority_expired{2700};
    const std::array cases = {
        ended_job_case{true, false, 18996},
        ended_job_case{true, true, 18997},
        ended_job_case{false, false, 18998},
        ended_job_case{false, true, 18999},
    };
    for (const auto& it : cases)
    {
        serving_leader cell(it.port);
        const auto answered = [&]
        {
            return cell.reply.has_value();
        };
        cr_assert(take(cell, message_type::submit_job));
        cell.run_until(answered);
        if (it.is_ended)
        {
            cr_assert(take(cell, message_type::cancel_job));
            cell.run_until(answered);
        }
        cr_assert(answered());
        cell.store.fault = store_fault::unresponsive;
        if (it.is_releasing)
            cell.leader->release();
        else
            cell.io.run_for(authority_expired);
        cr_assert_eq(take(cell, message_type::query_job), it.is_ended,
                     "port %d", int(it.port));
        cr_assert_eq(answered(), it.is_ended);
        if (it.is_ended)
            cr_assert_eq(wire::decode<job_reply>(*cell.reply)->state,
                         jobs::job_state::cancelled);
        // Other calls need it.
        cr_assert_not(take(cell, message_type::submit_job));
        cr_assert_not(take(cell, message_type::cancel_job));
    }
}
