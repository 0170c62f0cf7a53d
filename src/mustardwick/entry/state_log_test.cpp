#include "mustardwick/entry/state_log.hpp"

#include <array>

#include <criterion/criterion.h>

#include "head_store_test.hpp"

using namespace mustardwick;
using namespace mustardwick::entry;
using namespace mustardwick::entry::test;
using std::chrono::milliseconds;

namespace
{

/// A log with its store in one process.
struct log_fixture : store_fixture
{
    log_fixture(std::uint16_t port, store_fault fault)
        : store_fixture(port, fault, {}),
          log(std::make_shared<state_log>(io, clock, client, metrics,
                                          head_record{1, "a", "", 0, "", false},
                                          store.version))
    {
    }

    ~log_fixture()
    {
        log->stop();
    }

    log_fixture(const log_fixture&) = delete;
    log_fixture& operator=(const log_fixture&) = delete;

    std::shared_ptr<state_log> log;
};

} // namespace

struct log_case
{
    store_fault fault;
    log_result result;
    std::int64_t versions;
    std::uint16_t port;
    /// Maximum duration of a commit.
    milliseconds max_duration{300};
};

// Guards against transactions that are applied twice, lost, or abandoned while
// the store is slow (leadership changed twice in 4 s), and against discarding
// an answer that arrives after the next copy was sent.
Test(state_log, resolves_every_answer)
{
    const std::array cases = {
        log_case{store_fault::none, log_result::durable, 1, 27411},
        log_case{store_fault::answer_lost, log_result::durable, 1, 27412,
                 milliseconds(600)},
        log_case{store_fault::slow, log_result::durable, 1, 27413,
                 milliseconds(950)},
        log_case{store_fault::refused_once, log_result::durable, 1, 27414},
        log_case{store_fault::superseded, log_result::superseded, 0, 27415},
    };
    for (const auto& it : cases)
    {
        log_fixture cell(it.port, it.fault);
        if (it.fault == store_fault::superseded)
        {
            ++cell.store.version;
            // base64 of a head record of another daemon.
            cell.store.value = "AQ==";
        }
        const auto before = cell.store.version;
        std::optional<log_result> result;
        cell.log->commit({},
                         [&](log_result out)
                         {
                             result = out;
                         });
        const auto started = cell.clock.now();
        const auto give_up = started + std::chrono::seconds(8);
        while (!result && cell.clock.now() < give_up)
            cell.io.run_one_for(milliseconds(50));
        cr_assert(result.has_value());
        cr_assert_eq(*result, it.result);
        cr_assert_lt((cell.clock.now() - started).count(),
                     std::chrono::nanoseconds(it.max_duration).count());
        cr_assert_eq(cell.store.version - before, it.versions);
    }
}

// Guards against a leader that sends a transaction for ever that the store does
// not take for its content: no daemon could commit anything (review/1).
Test(state_log, tells_a_rejected_transaction_from_a_failing_store)
{
    const std::array cases = {
        log_case{store_fault::content_invalid, log_result::rejected, 2, 27470},
        log_case{store_fault::content_refused, log_result::rejected, 6, 27471,
                 milliseconds(1200)},
        log_case{store_fault::content_invalid_answers_lost,
                 log_result::rejected, 2, 27472, milliseconds(5000)},
    };
    for (const auto& it : cases)
    {
        log_fixture cell(it.port, it.fault);
        const auto before = cell.store.version;
        const auto commit = [&](durable::transaction change)
        {
            std::optional<log_result> result;
            cell.log->commit(std::move(change),
                             [&](log_result out)
                             {
                                 result = out;
                             });
            const auto give_up = cell.clock.now() + std::chrono::seconds(8);
            while (!result && cell.clock.now() < give_up)
                cell.io.run_one_for(milliseconds(50));
            cr_assert(result.has_value());
            return *result;
        };
        durable::transaction content;
        content.writes.push_back({{"jobs", "plan", "j"}, "value"});
        const auto started = cell.clock.now();
        cr_assert_eq(commit(content), it.result);
        cr_assert_lt((cell.clock.now() - started).count(),
                     std::chrono::nanoseconds(it.max_duration).count());
        cr_assert_eq(cell.store.version - before, it.versions);
        cr_assert_not(cell.log->failing_since().has_value());
        cell.store.fault = store_fault::none;
        cr_assert_eq(commit(content), log_result::durable);
    }
}

// Guards against a late detection of the end of an outage: callers retry for
// three seconds only (the affected window earned only 0.14 of its value).
Test(state_log, resends_often_during_an_outage)
{
    log_fixture cell(27419, store_fault::unresponsive);
    cell.log->commit({}, [](log_result) {});
    cell.io.run_for(milliseconds(2800));
    // Without the shorter interval: 8 copies, one every 350 ms.
    cr_assert_geq(cell.store.calls, 12);
    cr_assert_leq(cell.store.calls, 20);
}

// Guards against a leader that stays in memory after it has stepped down,
// because an open transaction keeps it.
Test(state_log, drops_its_handler_when_it_is_stopped)
{
    log_fixture cell(27417, store_fault::unresponsive);
    auto owner = std::make_shared<int>();
    const std::weak_ptr<int> observed = owner;
    cell.log->commit({}, [owner](log_result) {});
    owner.reset();
    cell.log->stop();
    cr_assert(observed.expired());
}
