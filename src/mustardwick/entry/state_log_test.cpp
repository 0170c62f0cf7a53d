#include "mustardwick/entry/state_log.hpp"

#include <array>

#include <criterion/criterion.h>

#include "head_store_test.hpp"
#include "src/mustardwick/aio/narrow_path_test.hpp"

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

namespace
{

/// A link of 10 Mbit/s.
constexpr std::size_t link_rate = 1'250'000;
constexpr std::size_t link_rows = 12;
constexpr std::size_t link_row_bytes = 48'000;

struct narrow_link_case
{
    const char* name;
    /// Bytes a second.
    std::size_t rate;
    std::optional<std::size_t> max_up_bytes_of_first;
    int commits;
    /// Bounds of all commits together.
    milliseconds max_duration;
    std::size_t max_bytes;
};

/// A log whose transactions share a narrow link.
struct narrow_log
{
    narrow_log(std::uint16_t port, const narrow_link_case& it)
        : fixture(port, store_fault::none),
          path_address{"127.0.0.1", std::uint16_t(port + 1)},
          path(fixture.io, path_address, fixture.address,
               {link_rate, {}, it.rate, it.max_up_bytes_of_first}),
          client(fixture.io, path_address, fixture.metrics),
          log(std::make_shared<state_log>(
              fixture.io, fixture.clock, client, fixture.metrics,
              head_record{1, "a", "", 0, "", false}, fixture.store.version))
    {
        aio::listener_limits limits;
        limits.max_body_bytes = 8U << 20U;
        limits.header_timeout = std::chrono::seconds(10);
        fixture.listener.set_limits(limits);
    }

    ~narrow_log()
    {
        log->stop();
    }

    narrow_log(const narrow_log&) = delete;
    narrow_log& operator=(const narrow_log&) = delete;

    bool commit()
    {
        durable::transaction change;
        for (std::size_t it = 0; it < link_rows; ++it)
            change.writes.push_back({{"jobs", "plan", std::to_string(it)},
                                     std::string(link_row_bytes, 'x')});
        std::optional<log_result> result;
        log->commit(std::move(change),
                    [&](log_result out)
                    {
                        result = out;
                    });
        const auto give_up = fixture.clock.now() + std::chrono::seconds(6);
        while (!result && fixture.clock.now() < give_up)
            fixture.io.run_one_for(milliseconds(50));
        return result == log_result::durable;
    }

    log_fixture fixture;
    wire::endpoint path_address;
    aio::test::narrow_path path;
    platform::store_client client;
    std::shared_ptr<state_log> log;
};

} // namespace

// Guards against copies of a large transaction that share a slow link with the
// first one until each is given up before it has arrived: the leader commits
// nothing any more, and its link stays full.
Test(state_log, sends_no_copy_while_the_link_takes_the_first)
{
    const narrow_link_case cases[] = {
        // 768 KB in base64, 0.61 s each.
        {"large", link_rate, {}, 4, milliseconds(3200), 3'300'000},
        // 3.1 s, longer than an answer may take.
        {"shared with other traffic",
         link_rate / 5,
         {},
         1,
         milliseconds(3800),
         900'000},
        {"the first connection goes silent", link_rate, 200'000, 1,
         milliseconds(2300), 1'150'000},
    };
    std::uint16_t port = 18'901;
    for (const auto& it : cases)
    {
        narrow_log cell(port, it);
        port += 2;
        const auto begin = cell.fixture.clock.now();
        for (int n = 0; n < it.commits; ++n)
            cr_expect(cell.commit(), "%s: commit %d", it.name, n);
        const auto took = std::chrono::duration_cast<milliseconds>(
            cell.fixture.clock.now() - begin);
        cr_expect_leq(took.count(), it.max_duration.count(), "%s: %d ms",
                      it.name, int(took.count()));
        cr_expect_leq(cell.path.passed_up(), it.max_bytes, "%s: %zu bytes",
                      it.name, cell.path.passed_up());
    }
}
