#include "mustardwick/entry/gateway.hpp"

#include <array>

#include <criterion/criterion.h>

#include "mustardwick/base/log.hpp"

using namespace mustardwick;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

namespace
{

operator_state one_public_queue()
{
    operator_state out;
    auto& configuration = out.configuration.emplace();
    configuration.version = 1;
    jobs::queue queue;
    queue.name = "q";
    queue.host_name = "h";
    queue.path_prefix = "/q/";
    queue.service = "s";
    queue.is_public = true;
    configuration.queues[queue.name] = queue;
    return out;
}

/// Steps that each depend on all earlier ones.
std::string chained_steps(int n)
{
    std::string out = R"({"steps":[)";
    std::string earlier;
    for (int it = 0; it < n; ++it)
    {
        out += (it == 0 ? "" : ",") + (R"({"after":[)" + earlier + "]}");
        earlier += (it == 0 ? "" : ",") + std::to_string(it);
    }
    return out + "]}";
}

/// Returns the response to a submission that the leader answers with the given
/// result.
aio::outgoing_response submit(const std::string& body,
                              const leader_result& result,
                              bool* is_forwarded = nullptr)
{
    base::manual_clock clock;
    base::metrics metrics;
    const auto state = one_public_queue();
    gateway handler(clock, metrics, state,
                    [&](wire::message_type, const std::string&,
                        base::steady_time, const auto& done)
                    {
                        if (is_forwarded != nullptr)
                            *is_forwarded = true;
                        done(result);
                    });
    aio::incoming_request request;
    request.method = "POST";
    request.host = "h";
    request.target = "/q/0123456789abcdef";
    request.received = clock.now();
    request.body = body;
    std::optional<aio::outgoing_response> response;
    handler.handle(request,
                   [&](aio::outgoing_response out)
                   {
                       response = std::move(out);
                   });
    cr_assert(response.has_value());
    return std::move(*response);
}

} // namespace

struct submit_case
{
    std::string body;
    int status;
    bool is_forwarded;
};

struct refusal_case
{
    job_reply reply;
    int status;
    int retry_after_ms;
};

// Guards against a success for a job that the leader did not accept.
Test(gateway, answers_submissions_as_the_leader_does)
{
    base::set_up_log("test", base::log_level::error);
    constexpr auto queued = jobs::job_state::queued;
    const std::array cases = {
        refusal_case{{reply_status::done}, 200, 0},
        refusal_case{
            {reply_status::store_unavailable, queued, 0, 1700}, 503, 1700},
        refusal_case{{reply_status::over_share, queued, 0, 900}, 429, 900},
        refusal_case{{reply_status::withdrawn}, 410, 0},
        // Of a later release.
        refusal_case{{reply_status(200), queued, 0, 1000}, 503, 1000},
    };
    for (const auto& it : cases)
    {
        const auto response = submit(chained_steps(1), {it.reply, true});
        cr_assert_eq(response.status, it.status);
        cr_assert_eq(response.retry_after.value_or(milliseconds(0)),
                     milliseconds(it.retry_after_ms));
    }
}

struct unanswered_copy_case
{
    const char* name;
    job_reply reply;
    int status;
    int retry_after_ms;
};

// Guards against telling a caller that its job never runs, when an earlier copy
// of the submission was not answered and a leader accepts it later (review/11).
Test(gateway, promises_nothing_while_a_copy_is_unanswered)
{
    base::set_up_log("test", base::log_level::error);
    constexpr auto queued = jobs::job_state::queued;
    const std::array cases = {
        unanswered_copy_case{"accepted", {reply_status::done}, 200, 0},
        unanswered_copy_case{"store",
                             {reply_status::store_unavailable, queued, 0, 1700},
                             504,
                             1700},
        unanswered_copy_case{
            "share", {reply_status::over_share, queued, 0, 900}, 504, 900},
        // No copy is accepted any more.
        unanswered_copy_case{"withdrawn", {reply_status::withdrawn}, 410, 0},
        unanswered_copy_case{
            "later release", {reply_status(200), queued, 0, 1000}, 504, 1000},
    };
    for (const auto& it : cases)
    {
        const auto response =
            submit(chained_steps(1), {it.reply, true, {}, true});
        cr_assert_eq(response.status, it.status, "%s", it.name);
        cr_assert_eq(response.retry_after.value_or(milliseconds(0)),
                     milliseconds(it.retry_after_ms), "%s", it.name);
    }
}

// Guards against callers that wait for a job that can never be stored.
Test(gateway, refuses_jobs_that_cannot_be_stored_at_once)
{
    base::set_up_log("test", base::log_level::error);
    const std::array cases = {
        submit_case{chained_steps(20), 200, true},
        submit_case{chained_steps(200), 413, false},
        submit_case{R"({"steps":[]})", 400, false},
    };
    for (const auto& it : cases)
    {
        bool is_forwarded = false;
        const auto response = submit(
            it.body, {job_reply{reply_status::done}, true}, &is_forwarded);
        cr_assert_eq(response.status, it.status);
        cr_assert_eq(is_forwarded, it.is_forwarded);
        const bool explains = response.body.find("error") != std::string::npos;
        cr_assert_eq(explains, it.status != 200);
    }
}

struct age_case
{
    std::string method;
    std::optional<milliseconds> deadline;
    milliseconds unread;
    bool is_forwarded;
};

// Guards against beginning work whose caller has stopped waiting while the
// request was in the socket, and against refusing one that still waits.
Test(gateway, counts_deadlines_from_the_arrival_of_a_request)
{
    base::set_up_log("test", base::log_level::error);
    constexpr auto none = std::nullopt;
    constexpr auto an_hour = milliseconds(3'600'000);
    const std::array cases = {
        age_case{"POST", none, milliseconds(0), true},
        age_case{"POST", none, milliseconds(2500), true},
        age_case{"POST", none, milliseconds(3000), false},
        age_case{"POST", milliseconds(400), milliseconds(1000), false},
        age_case{"POST", milliseconds(8000), milliseconds(4000), true},
        age_case{"POST", an_hour, milliseconds(50'000), true},
        age_case{"POST", an_hour, milliseconds(61'000), false},
        age_case{"GET", milliseconds(400), milliseconds(1000), false},
        age_case{"DELETE", milliseconds(400), milliseconds(1000), false},
    };
    for (const auto& it : cases)
    {
        base::manual_clock clock;
        base::metrics metrics;
        const auto state = one_public_queue();
        std::optional<base::steady_time> deadline;
        gateway handler(clock, metrics, state,
                        [&](wire::message_type, const std::string&,
                            base::steady_time until, const auto& done)
                        {
                            deadline = until;
                            done({job_reply{reply_status::done}, true});
                        });
        aio::incoming_request request;
        request.method = it.method;
        request.host = "h";
        request.target = "/q/0123456789abcdef";
        request.received = clock.now();
        request.body = chained_steps(1);
        request.deadline = it.deadline;
        request.unread = it.unread;
        std::optional<aio::outgoing_response> response;
        handler.handle(request,
                       [&](aio::outgoing_response out)
                       {
                           response = std::move(out);
                       });
        cr_assert(response.has_value());
        cr_assert_eq(response->status, it.is_forwarded ? 200 : 503);
        cr_assert_eq(deadline.has_value(), it.is_forwarded);
        if (deadline)
            cr_assert_leq(*deadline,
                          clock.now() - it.unread +
                              it.deadline.value_or(milliseconds(3000)));
    }
}

struct query_case
{
    std::string method;
    std::optional<job_reply> reply;
    int status;
    int retry_after_ms;
};

// Guards against 410 or 200 for a job of which the leader knows nothing and the
// store does not confirm that.
Test(gateway, answers_calls_about_a_job_as_the_leader_does)
{
    base::set_up_log("test", base::log_level::error);
    constexpr auto queued = jobs::job_state::queued;
    const job_reply known{reply_status::done};
    const job_reply unknown{reply_status::unknown_job};
    const job_reply unconfirmed{reply_status::not_leader, queued, 0, 1700};
    const std::array cases = {
        query_case{"GET", known, 200, 0},
        query_case{"GET", unknown, 410, 0},
        query_case{"GET", unconfirmed, 503, 1700},
        query_case{"GET", std::nullopt, 503, 1000},
        query_case{"DELETE", known, 200, 0},
        query_case{"DELETE", unknown, 410, 0},
        query_case{"DELETE", unconfirmed, 503, 1700},
        query_case{"DELETE", std::nullopt, 503, 1000},
    };
    for (const auto& it : cases)
    {
        base::manual_clock clock;
        base::metrics metrics;
        const auto state = one_public_queue();
        gateway handler(clock, metrics, state,
                        [&](wire::message_type, const std::string&,
                            base::steady_time, const auto& done)
                        {
                            done({it.reply, true});
                        });
        aio::incoming_request request;
        request.method = it.method;
        request.host = "h";
        request.target = "/q/0123456789abcdef";
        request.received = clock.now();
        std::optional<aio::outgoing_response> response;
        handler.handle(request,
                       [&](aio::outgoing_response out)
                       {
                           response = std::move(out);
                       });
        cr_assert(response.has_value());
        cr_assert_eq(response->status, it.status);
        cr_assert_eq(response->retry_after.value_or(milliseconds(0)),
                     milliseconds(it.retry_after_ms));
    }
}
