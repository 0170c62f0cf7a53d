#include "mustardwick/entry/state_log.hpp"

#include <array>

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include "mustardwick/aio/http_listener.hpp"
#include "mustardwick/base/error.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/wire/codec.hpp"

using namespace mustardwick;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

namespace
{

enum class store_fault
{
    none,
    /// The first transaction takes effect and is never answered.
    answer_lost,
    /// Every answer takes 710 ms, 70 times the usual time.
    slow,
    /// The first call is refused.
    refused_once,
    /// Another daemon has written the head row.
    superseded
};

/// A store that holds the head row only, by its published protocol.
struct head_store
{
    void handle(const aio::incoming_request& request,
                const aio::responder& respond)
    {
        ++calls;
        if (fault == store_fault::refused_once && calls == 1)
            return respond({503, "{}", "application/json", {}});
        const auto at = request.body.find("\"row_version\":");
        const auto expected = std::stoll(request.body.substr(at + 14));
        const bool matches = expected == version;
        if (matches)
        {
            ++version;
            // The head row is the last of the writes.
            const auto begin = request.body.rfind("\"value\":\"") + 9;
            value = request.body.substr(begin,
                                        request.body.find('"', begin) - begin);
        }
        if (fault == store_fault::answer_lost && calls == 1)
            return;
        const auto number = std::to_string(version);
        const auto body = matches
                              ? "{\"row_version\":" + number + "}"
                              : R"({"row_version":)" + number +
                                    R"(,"rows":[{"table":"cell","part":"plan",)"
                                    R"("key":"head","row_version":)" +
                                    number + R"(,"value":")" + value + "\"}]}";
        const aio::outgoing_response out{
            matches ? 200 : 412, body, "application/json", {}};
        if (fault != store_fault::slow)
            return respond(out);
        auto timer =
            std::make_shared<boost::asio::steady_timer>(io, milliseconds(710));
        timer->async_wait(
            [timer, respond, out](boost::system::error_code)
            {
                respond(out);
            });
    }

    boost::asio::io_context& io;
    store_fault fault = store_fault::none;
    int calls = 0;
    std::int64_t version = 4;
    std::string value;
};

} // namespace

struct log_case
{
    store_fault fault;
    log_result result;
    std::int64_t versions;
    std::uint16_t port;
};

// Guards against transactions that are applied twice, lost, or given up while
// the store is slow (trouble-2: the duty moved twice in 4 s).
Test(state_log, resolves_every_answer)
{
    base::set_up_log("test", base::log_level::error);
    const std::array cases = {
        log_case{store_fault::none, log_result::durable, 1, 27411},
        log_case{store_fault::answer_lost, log_result::durable, 1, 27412},
        log_case{store_fault::slow, log_result::durable, 1, 27413},
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
        log->commit({}, {},
                    [&](log_result out)
                    {
                        result = out;
                    });
        const auto give_up = clock.now() + std::chrono::seconds(8);
        while (!result && clock.now() < give_up)
            io.run_one_for(milliseconds(50));
        cr_assert(result.has_value());
        cr_assert_eq(*result, it.result);
        cr_assert_eq(store.version - before, it.versions);
        log->stop();
    }
}
