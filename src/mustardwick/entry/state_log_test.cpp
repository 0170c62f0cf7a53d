#include "mustardwick/entry/state_log.hpp"

#include <array>

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include "head_store_test.hpp"
#include "mustardwick/base/error.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/wire/codec.hpp"

using namespace mustardwick;
using namespace mustardwick::entry;
using namespace mustardwick::entry::test;
using std::chrono::milliseconds;

struct log_case
{
    store_fault fault;
    log_result result;
    std::int64_t versions;
    std::uint16_t port;
    /// A commit takes no longer.
    milliseconds longest{300};
};

// Guards against transactions that are applied twice, lost, or given up while
// the store is slow (trouble-2: the duty moved twice in 4 s), and against an
// answer that is thrown away because it comes after the next copy was sent.
Test(state_log, resolves_every_answer)
{
    base::set_up_log("test", base::log_level::error);
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
        boost::asio::io_context io;
        base::system_clock clock;
        base::metrics metrics;
        head_store store{io, it.fault, 0, 4, {}};
        std::int64_t known = store.version;
        if (it.fault == store_fault::superseded)
        {
            ++store.version;
            // base64 of a head record of another daemon.
            store.value = "AQ==";
        }
        const auto before = store.version;
        const wire::endpoint address{"127.0.0.1", it.port};
        aio::http_listener listener(io, address, "Deadline-Ms",
                                    [&](const auto& request, auto respond)
                                    {
                                        store.handle(request, respond);
                                    });
        cr_assert(listener.start(), "%s", base::last_error().text().c_str());
        platform::store_client client(io, address, metrics);
        auto log = std::make_shared<state_log>(
            io, clock, client, metrics, head_record{1, "a", "", 0, "", false},
            known);
        std::optional<log_result> result;
        log->commit({},
                    [&](log_result out)
                    {
                        result = out;
                    });
        const auto began = clock.now();
        const auto give_up = began + std::chrono::seconds(8);
        while (!result && clock.now() < give_up)
            io.run_one_for(milliseconds(50));
        cr_assert(result.has_value());
        cr_assert_eq(*result, it.result);
        cr_assert_lt((clock.now() - began).count(),
                     std::chrono::nanoseconds(it.longest).count());
        cr_assert_eq(store.version - before, it.versions);
        log->stop();
    }
}

// Guards against an outage whose end is found out late: callers come back for
// three seconds only (bdp-sched trouble-2, window at 32 s: 0.14 of its worth).
Test(state_log, looks_often_for_the_end_of_an_outage)
{
    base::set_up_log("test", base::log_level::error);
    boost::asio::io_context io;
    base::system_clock clock;
    base::metrics metrics;
    head_store store{io, store_fault::silent, 0, 4, {}};
    const wire::endpoint address{"127.0.0.1", 27419};
    aio::http_listener listener(io, address, "Deadline-Ms",
                                [&](const auto& request, auto respond)
                                {
                                    store.handle(request, respond);
                                });
    cr_assert(listener.start(), "%s", base::last_error().text().c_str());
    platform::store_client client(io, address, metrics);
    const auto log = std::make_shared<state_log>(
        io, clock, client, metrics, head_record{1, "a", "", 0, "", false}, 4);
    log->commit({}, [](log_result) {});
    io.run_for(milliseconds(2800));
    // 8 copies at the usual distance of 350 ms.
    cr_assert_geq(store.calls, 12);
    cr_assert_leq(store.calls, 20);
    log->stop();
}
