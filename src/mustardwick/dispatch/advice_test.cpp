#include "planner_fixture_test.hpp"

#include <array>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

// Guards against a start without the ticket that its worker requires, and
// against one with an expired ticket.
Test(advice, starts_with_a_valid_ticket)
{
    for (const auto& [age_ms, starts] :
         {std::pair{100, 1}, std::pair{1500, 1}, std::pair{2300, 0}})
    {
        planner_fixture cell(2);
        cell.submit(make_job("j", "asked", {make_step(1, 1)}));
        const auto sent_at = cell.clock.now();
        const auto queries = cell.round(1).queries;
        cr_assert_eq(queries.size(), 1);
        cell.clock.advance(milliseconds(age_ms - 200));
        cell.plan.advice_answered(queries[0], allow_all(queries[0]), sent_at);
        const auto out = cell.round();
        cr_assert_eq(int(out.starts.size()), starts, "age %d", age_ms);
        for (const auto& it : out.starts)
            cr_assert_eq(it.ticket, "t-" + it.worker);
    }
}

// Guards against a second query about hosts that the policy denied.
Test(advice, does_not_query_denied_hosts_again)
{
    planner_fixture cell(2);
    cell.submit(make_job("j", "asked", {make_step(1, 1)}));
    const auto first = cell.round(1).queries.at(0);
    cell.plan.advice_answered(first, std::vector<advice_ticket>{},
                              cell.clock.now());
    for (const auto& it : cell.round(1).queries)
        for (const auto& worker : it.workers)
            cr_assert(std::find(first.workers.begin(), first.workers.end(),
                                worker) == first.workers.end());
}

// Guards against a query that the advisor rejects because it names too many
// hosts: the step would send it again and again.
Test(advice, names_no_more_hosts_than_the_advisor_accepts)
{
    for (const std::size_t channels : {1, 2, 4})
    {
        planner_fixture cell(200);
        cell.submit(make_job("j", "asked", {make_step(150, 20, true)}));
        const auto queries = cell.round(channels).queries;
        cr_assert(!queries.empty());
        for (const auto& it : queries)
            cr_assert_leq(it.workers.size(), 100, "%d channels", int(channels));
    }
}

struct load_case
{
    std::size_t jobs;
    std::size_t channels;
    std::size_t queries;
};

// Guards against queries that wait for a channel: with a backlog, other steps
// take the capacity before the answers arrive. In one case 350 of 377 ready
// steps awaited advice while half of the cell was free.
Test(advice, sends_at_most_one_query_per_free_channel)
{
    const std::array cases = {
        load_case{400, 9, 9},
        load_case{400, 0, 0},
        load_case{3, 9, 3},
    };
    for (const auto& it : cases)
    {
        planner_fixture cell(48);
        for (std::size_t n = 0; n < it.jobs; ++n)
            cell.submit(
                make_job("j" + std::to_string(n), "asked", {make_step(2, 3)}));
        cr_assert_eq(cell.round(it.channels).queries.size(), it.queries);
    }
}

// Guards against a backlog of an account at its maximum that delays the work of
// other accounts.
Test(advice, skips_accounts_at_their_maximum)
{
    planner_fixture cell(48);
    for (int n = 0; n < 800; ++n)
        cell.submit(make_job("c" + std::to_string(n), "asked",
                             {make_step(1, 9)}, "capped"));
    cell.submit(make_job("j", "asked", {make_step(1, 9)}));
    const auto queries = cell.round(1).queries;
    cr_assert_eq(queries.size(), 1);
    cr_assert_eq(queries[0].job, "j");
}

// Guards against a round time that grows with backlog times hosts: with 4,000
// waiting steps and no free channel, a round searched every host for each step.
Test(advice, bounds_round_time_with_a_backlog)
{
    planner_fixture cell(350);
    for (int n = 0; n < 2000; ++n)
        cell.submit(
            make_job("j" + std::to_string(n), "asked", {make_step(2, 3)}));
    cell.round(0);
    const auto started = std::chrono::steady_clock::now();
    constexpr int rounds = 20;
    for (int n = 0; n < rounds; ++n)
    {
        cell.clock.advance(milliseconds(200));
        cell.plan.take_orders({4, 2});
    }
    const auto elapsed = std::chrono::steady_clock::now() - started;
    // The bound allows for sanitizer builds.
    cr_assert_lt(elapsed / rounds, milliseconds(20));
}

namespace
{

/// Queries of queue "asked" are long, because of their fixed cost.
jobs::configuration with_long_queries()
{
    auto out = make_configuration();
    out.version = 2;
    out.queues["asked"].advice = jobs::advice_cost{500, 1, 2000};
    return out;
}

} // namespace

// Guards against queries that are split for channels which long ones may not
// use: of four queries one was sent, and the step never had all its tickets.
Test(advice, asks_about_all_hosts_through_the_long_channels_that_are_free)
{
    constexpr std::size_t hosts = 48;
    for (const std::size_t long_channels : {1, 2, 8})
    {
        planner_fixture cell(hosts);
        cell.plan.set_configuration(with_long_queries());
        cell.submit(make_job("j", "asked", {make_step(40, 20, true)}));
        cell.clock.advance(milliseconds(200));
        std::size_t queried = 0;
        for (const auto& it : cell.plan.take_orders({8, long_channels}).queries)
            queried += it.workers.size();
        cr_assert_eq(queried, hosts, "%d long channels", int(long_channels));
    }
}

// Guards against gangs that could run but are never asked about, because
// others ask again and again: their tickets expire before all their tasks fit.
Test(advice, lets_steps_that_wait_long_ask_in_turn)
{
    constexpr int hosts = 48;
    planner_fixture cell(hosts);
    cell.plan.set_configuration(with_long_queries());
    cell.submit(make_job("filler", "plain", {make_step(12, host_cores)}));
    cr_assert_eq(cell.run_round().starts.size(), 12);
    for (int it = 0; it < 8; ++it)
        cell.submit(make_job("wide" + std::to_string(it), "asked",
                             {make_step(40, 20, true)}));
    cell.clock.advance(milliseconds(100));
    cell.submit(make_job("narrow", "asked", {make_step(2, 20, true)}));
    // All jobs are past their late deadlines then.
    cell.clock.advance(milliseconds(60'000));
    std::vector<advice_query> open;
    auto sent_at = cell.clock.now();
    std::size_t started = 0;
    for (int round = 0; round < 60 && started == 0; ++round)
    {
        auto out = cell.round(open.empty() ? 1 : 0);
        started += out.starts.size();
        for (const auto& it : out.starts)
            cr_assert_eq(it.task.job, "narrow");
        if (!open.empty() && cell.clock.now() - sent_at >= milliseconds(600))
        {
            cell.plan.advice_answered(open[0], allow_all(open[0]), sent_at);
            open.clear();
        }
        if (!out.queries.empty())
        {
            open = std::move(out.queries);
            sent_at = cell.clock.now();
        }
    }
    cr_assert_eq(started, 2);
}

struct resubmitted_case
{
    const char* name;
    /// The job asks before the answer to the dropped one arrives.
    bool has_asked;
    bool is_answered;
};

// Guards against a job that never starts, because the answer to a query of a
// dropped job with its id was counted as one to its own.
Test(advice, answers_to_a_dropped_job_are_not_those_of_its_successor)
{
    const resubmitted_case cases[] = {
        {"answered before it asks", false, true},
        {"answered while it asks", true, true},
        {"unanswered before it asks", false, false},
        {"unanswered while it asks", true, false},
    };
    for (const auto& it : cases)
    {
        planner_fixture cell(2);
        const auto job = make_job("j", "asked", {make_step(1, 1)});
        cell.plan.submit(job, [] {});
        cell.clock.advance(milliseconds(200));
        const auto sent_at = cell.clock.now();
        const auto former = cell.plan.take_orders({1, 1}).queries;
        cr_assert_eq(former.size(), 1, "%s", it.name);
        cr_assert_eq(cell.plan.reject_unsent_jobs(), 1, "%s", it.name);

        cell.submit(job);
        std::vector<advice_query> own;
        if (it.has_asked)
            own = cell.round(1).queries;
        auto allowed = std::optional(allow_all(former[0]));
        if (!it.is_answered)
            allowed.reset();
        cell.plan.advice_answered(former[0], allowed, sent_at);
        const auto then = cell.round(1);
        cr_assert(then.starts.empty(), "%s", it.name);
        cr_assert_eq(then.queries.empty(), it.has_asked, "%s", it.name);

        if (!it.has_asked)
            own = then.queries;
        // Its tickets expire before they are used.
        cell.plan.advice_answered(own.at(0), allow_all(own[0]),
                                  cell.clock.now() - milliseconds(5000));
        const auto again = cell.round(1).queries;
        cr_assert_eq(again.size(), 1, "%s", it.name);
        cell.plan.advice_answered(again[0], allow_all(again[0]),
                                  cell.clock.now());
        cr_assert_eq(cell.round().starts.size(), 1, "%s", it.name);
    }
}
