#include "mustardwick/entry/duty_seeker.hpp"

#include <array>

#include <criterion/criterion.h>

#include "head_store_test.hpp"
#include "mustardwick/base/error.hpp"
#include "mustardwick/base/log.hpp"

using namespace mustardwick;
using namespace mustardwick::entry;
using namespace mustardwick::entry::test;
using std::chrono::milliseconds;

struct offer_case
{
    std::int64_t head_version;
    std::uint16_t port;
    bool acquired;
};

// Guards against a planned change of leaders that reads the head row first
// (tp-dakar trouble-2: 0.3 s more while the store was slow), and against a
// successor that takes the duty on an outdated offer.
Test(duty_seeker, takes_an_offered_duty_with_one_call)
{
    base::set_up_log("test", base::log_level::error);
    const std::array cases = {offer_case{4, 27421, true},
                              offer_case{3, 27422, false}};
    for (const auto& it : cases)
    {
        boost::asio::io_context io;
        base::system_clock clock;
        base::metrics metrics;
        head_store store{io, store_fault::none, 0, 4, "AQ=="};
        const wire::endpoint address{"127.0.0.1", it.port};
        aio::http_listener listener(io, address, "Deadline-Ms",
                                    [&](const auto& request, auto respond)
                                    {
                                        store.handle(request, respond);
                                    });
        cr_assert(listener.start(), "%s", base::last_error().text().c_str());
        platform::store_client client(io, address, metrics);
        std::optional<head_record> head;
        const auto seeker = std::make_shared<duty_seeker>(
            io, clock, client, member_record{"a", "127.0.0.1", 1, 1.0},
            duty_seeker::events{[&](head_record record, std::int64_t)
                                {
                                    head = std::move(record);
                                },
                                [](const head_record&) {}});
        seeker->take_now({7, it.head_version});
        const auto give_up = clock.now() + milliseconds(500);
        while (!head && clock.now() < give_up)
            io.run_one_for(milliseconds(20));
        cr_assert_eq(head.has_value(), it.acquired);
        cr_assert_eq(store.calls, 1);
        if (head)
            cr_assert_eq(head->epoch, 8);
        seeker->stop();
    }
}
