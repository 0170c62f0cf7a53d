#include <criterion/criterion.h>

#include "mustardwick/base/clock.hpp"
#include "testing/standin/fake_table.hpp"
#include "testing/standin/host_list.hpp"
#include "testing/standin/table_state.hpp"
#include "testing/standin/worker_state.hpp"

using namespace mustardwick;
using namespace mustardwick::testing;
using ports::commit_state;
using std::chrono::milliseconds;

namespace
{

ports::transaction write_once(const std::string& id, const std::string& key)
{
    return {id, {{key, 0}}, {{key, "value"}}, {}};
}

wire::start_order order(const std::string& attempt, const std::string& payload)
{
    wire::start_order out;
    out.attempt = attempt;
    out.kind = "batch";
    out.payload = payload;
    return out;
}

/// A worker with a clock that the test advances.
struct worker_fixture
{
    base::manual_clock clock;
    event_log events{clock};
    worker_state worker{{"w", "rack", "north"}, clock, events};

    bool starts(const std::string& lease, const std::string& attempt)
    {
        return worker.order(lease, {{order(attempt, R"({"run_ms":500})")}, {}})
            .has_value();
    }
};

} // namespace

// Guards against a table that applies a transaction whose checks fail.
Test(table_state, commits_only_when_all_checks_hold)
{
    table_state table;
    cr_assert(table.commit(write_once("t1", "a")).state ==
              commit_state::committed);
    const auto repeated = table.commit(write_once("t1", "a"));
    cr_assert(repeated.state == commit_state::conflict);
    cr_assert_eq(repeated.conflicts.front().version, 1);
    const ports::transaction mixed{
        "t2", {{"a", 1}, {"b", 7}}, {{"b", "x"}}, {"a"}};
    cr_assert(table.commit(mixed).state == commit_state::conflict);
    cr_assert_eq(table.read("a").writer, "t1");
    cr_assert_eq(table.read("b").version, 0);
}

// Guards against pages that miss or repeat rows or go beyond the prefix.
Test(table_state, pages_through_a_prefix)
{
    table_state table;
    for (const char* key : {"a/1", "b/1", "b/2", "b/3", "c/1"})
        table.commit(write_once(key, key));
    std::string keys;
    ports::row_page page;
    do
    {
        page = table.scan("b/", page.next, 2);
        for (const auto& it : page.rows)
            keys += it.key + ' ';
    } while (!page.next.empty());
    cr_assert_eq(keys, "b/1 b/2 b/3 ");
}

// Guards against faults that alter stored rows: a lost response must not undo
// the commit, and a lost write must not be applied.
Test(fake_table, distinguishes_lost_responses_from_lost_writes)
{
    table_state state;
    fake_table table(state);
    table.lose_answers(1);
    cr_assert(table.commit(write_once("t1", "a")).state ==
              commit_state::unknown);
    cr_assert_eq(state.read("a").writer, "t1");
    table.set_read_only(true);
    cr_assert(table.commit(write_once("t2", "b")).state ==
              commit_state::unknown);
    cr_assert_eq(state.read("b").version, 0);
    cr_assert(table.read("a").has_value());
    table.set_down(true);
    cr_assert_not(table.read("a").has_value());
}

// Guards against a host list change that is visible before its lag has passed.
Test(host_list, shows_changes_after_the_lag)
{
    base::manual_clock clock;
    host_list hosts(clock, milliseconds{100});
    hosts.set({{"a", "live"}});
    clock.advance(milliseconds{99});
    cr_assert(hosts.visible().empty());
    clock.advance(milliseconds{1});
    cr_assert_eq(hosts.visible().size(), 1);
}

// Guards against a worker that accepts orders under a closed or expired lease.
Test(worker_state, accepts_orders_only_under_the_open_lease)
{
    worker_fixture it;
    const auto first = it.worker.open("d1", milliseconds{1000}).lease;
    cr_assert(it.starts(first, "a1"));
    const auto second = it.worker.open("d2", milliseconds{1000});
    cr_assert_eq(second.running.size(), 1);
    cr_assert_not(it.starts(first, "a2"));
    cr_assert_not(it.worker.renew(first, milliseconds{1000}, {}).has_value());
    it.clock.advance(milliseconds{1000});
    cr_assert_not(it.starts(second.lease, "a3"));
    cr_assert(it.worker.start_request(second.lease, "r1", "q", "e") ==
              request_refusal::lease_closed);
}

// Guards against attempts that start twice or after a stop order.
Test(worker_state, starts_an_attempt_at_most_once)
{
    worker_fixture it;
    const auto lease = it.worker.open("d1", milliseconds{5000}).lease;
    it.worker.order(lease, {{}, {"stopped"}});
    it.starts(lease, "stopped");
    it.starts(lease, "a");
    it.starts(lease, "a");
    const auto state = it.worker.open("d1", milliseconds{5000});
    cr_assert_eq(state.running, std::vector<std::string>{"a"});
    it.clock.advance(milliseconds{500});
    const auto ended = it.worker.renew(state.lease, milliseconds{5000}, {});
    cr_assert_eq(ended->ended.size(), 1);
    it.starts(state.lease, "a");
    cr_assert(
        it.worker.renew(state.lease, milliseconds{5000}, {"a"})->ended.empty());
}

// Guards against tasks that run on after their lease expires.
Test(worker_state, ends_tasks_when_the_lease_expires)
{
    worker_fixture it;
    const auto lease = it.worker.open("d1", milliseconds{300}).lease;
    it.starts(lease, "a");
    it.clock.advance(milliseconds{800});
    const auto state = it.worker.open("d2", milliseconds{300});
    cr_assert(state.running.empty());
    cr_assert(state.ended.front().event == wire::attempt_event::lost);
}
