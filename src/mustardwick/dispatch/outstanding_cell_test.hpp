#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "planner_fixture_test.hpp"

namespace mustardwick::dispatch::test
{

using std::chrono::seconds;

/// From the order until it takes no effect any more: 0.8 s until it is sent and
/// 12 s, by a clock that is 2 % fast.
inline constexpr milliseconds delivery_bound{13'044};

/// A task whose order was sent to the first of two workers, "w0", and has not
/// been answered yet.
struct outstanding_cell : planner_fixture
{
    explicit outstanding_cell(const std::string& queue = "plain",
                              bool lasts = false)
        : planner_fixture(1)
    {
        auto step = make_step(1, 1);
        step.long_running = lasts;
        submit(make_job("j", queue, {step}));
        if (queue == "asked")
        {
            const auto query = round(1).queries.at(0);
            plan.advice_answered(query, allow_all(query), clock.now());
        }
        order = round().starts.at(0);
        cr_assert_eq(order.worker, "w0");
        add_host("w1");
    }

    void answer(jobs::order_result result, bool is_verified = true)
    {
        plan.start_answered(order, {result, worker_clock(), is_verified});
    }

    /// The order has expired by the clock of the incarnation that it was meant
    /// for, which does not list its run.
    void expire()
    {
        answer(jobs::order_result::unknown);
        clock.advance(seconds(2));
        report("w0");
    }

    void restart(std::vector<jobs::running_run> running = {},
                 std::vector<jobs::ended_run> ended = {})
    {
        report("w0", std::move(running), std::move(ended),
               incarnation_start + 1);
    }

    /// Returns after which time, counted from the order, the task is started on
    /// another worker; std::nullopt if not within the given time.
    std::optional<milliseconds> elsewhere_after(milliseconds most)
    {
        for (const auto until = clock.now() + most; clock.now() < until;)
        {
            report("w1");
            const auto out = round(1);
            for (const auto& it : out.queries)
                plan.advice_answered(it, allow_all(it), clock.now());
            for (const auto& it : out.starts)
                if (it.worker != "w0")
                    return std::chrono::duration_cast<milliseconds>(
                        clock.now() - ordered);
        }
        return std::nullopt;
    }

    start_order order;
    base::steady_time ordered = clock.now();
};

enum class event
{
    accepted,
    accepted_unverified,
    refused,
    refused_unverified,
    listed,
    silent,
    expired,
    accepted_again
};

inline void play(outstanding_cell& it, event what)
{
    switch (what)
    {
    case event::accepted:
        return it.answer(jobs::order_result::accepted);
    case event::accepted_unverified:
        return it.answer(jobs::order_result::accepted, false);
    case event::refused:
        return it.answer(jobs::order_result::insufficient_capacity);
    case event::refused_unverified:
        return it.answer(jobs::order_result::insufficient_capacity, false);
    case event::listed:
        return it.report("w0", {{{"j", 0, 0, 0}, 1, "", 0}});
    case event::silent:
        return it.answer(jobs::order_result::unknown);
    case event::expired:
        return it.expire();
    case event::accepted_again:
        for (const auto& order : it.run_round().starts)
            cr_assert_eq(order.worker, "w0");
        it.report("w0", {{{"j", 0, 0, 0}, 1, "", 0}});
        return;
    }
}

} // namespace mustardwick::dispatch::test
