#include "mustardwick/aio/connection_guard.hpp"

#include <array>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "mustardwick/base/log.hpp"

using namespace mustardwick;
using namespace mustardwick::aio;

struct hold_case
{
    const char* name;
    /// Bytes that the connections 0, 1, 2 ... hold, one after the other.
    std::vector<std::size_t> held;
    /// Connections that are shed, in order.
    std::vector<int> shed;
    std::size_t left;
};

// Guards against connections that are each within their limits and together
// exhaust the memory of the host, and against shedding an ordinary request,
// which holds little, before the ones that hold most.
Test(connection_guard, sheds_the_connections_that_hold_most)
{
    const std::array cases = {
        hold_case{"within the limit", {40, 30, 30}, {}, 100},
        hold_case{"largest first", {30, 50, 30}, {1}, 60},
        hold_case{"until the sum fits", {45, 40, 10, 90}, {3}, 95},
        hold_case{"ordinary request arrives last", {60, 39, 2}, {0}, 41},
        hold_case{"one beyond the limit alone", {101}, {0}, 0},
    };
    base::set_up_log("test", base::log_level::error);
    for (const auto& it : cases)
    {
        base::manual_clock clock;
        base::metrics metrics;
        connection_guard guard(clock, metrics, 100);
        std::vector<int> shed;
        std::vector<connection_guard::connection_id> ids;
        for (std::size_t n = 0; n < it.held.size(); ++n)
        {
            ids.push_back(guard.add(
                [&shed, n]
                {
                    shed.push_back(int(n));
                }));
            guard.hold(ids.back(), it.held[n]);
        }
        cr_assert(shed == it.shed, "%s", it.name);
        cr_assert_eq(guard.held_bytes(), it.left, "%s", it.name);
        for (const auto id : ids)
            guard.remove(id);
        cr_assert_eq(guard.held_bytes(), 0, "%s", it.name);
    }
}

// Guards against counters that lose refusals because only one line a second is
// logged.
Test(connection_guard, counts_each_refusal_by_its_cause)
{
    base::set_up_log("test", base::log_level::error);
    base::manual_clock clock;
    base::metrics metrics;
    connection_guard guard(clock, metrics, 100);
    for (int n = 0; n < 30; ++n)
    {
        guard.refused("listener", "body too large");
        clock.advance(std::chrono::milliseconds(100));
    }
    guard.refused("peers", "not authenticated");
    cr_assert_eq(metrics.count("mustardwick_refused_body_too_large_total"), 30);
    cr_assert_eq(metrics.count("mustardwick_refused_not_authenticated_total"),
                 1);
}

struct closed_case
{
    const char* name;
    closed_connection connection;
    std::uint64_t unanswered;
};

// Guards against a closed connection whose caller waits for an answer and that
// no counter shows, and against counting idle connections as such.
Test(connection_guard, counts_closed_connections_that_owe_an_answer)
{
    base::set_up_log("test", base::log_level::error);
    const std::chrono::milliseconds age{15'000};
    const closed_case cases[] = {
        {"idle", {"idle", age}, 0},
        {"idle with unread bytes", {"idle", age, 70, false}, 1},
        {"request in progress", {"idle", age, 0, true}, 1},
    };
    for (const auto& it : cases)
    {
        const base::manual_clock clock;
        base::metrics metrics;
        connection_guard guard(clock, metrics, 100);
        for (int n = 0; n < 2 * connection_guard::max_logged_closes; ++n)
            guard.closed("listener", it.connection);
        const auto all = 2U * connection_guard::max_logged_closes;
        cr_assert_eq(metrics.count("mustardwick_closed_idle_total"), all, "%s",
                     it.name);
        cr_assert_eq(metrics.count("mustardwick_closed_unanswered_idle_total"),
                     all * it.unanswered, "%s", it.name);
    }
}
