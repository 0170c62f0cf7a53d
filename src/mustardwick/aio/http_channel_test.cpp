#include "mustardwick/aio/http_channel.hpp"

#include <criterion/criterion.h>

#include "guard_test.hpp"
#include "mustardwick/aio/http_listener.hpp"

using namespace mustardwick;
using namespace mustardwick::aio;
using std::chrono::milliseconds;

namespace
{

struct outcome_case
{
    const char* name;
    bool listens;
    /// The server answers the call.
    bool answers;
    transport_outcome end;
};

} // namespace

// Guards against taking a call that was sent to an unresponsive peer for one
// that was not sent: its work would be started a second time.
Test(http_channel, tells_unsent_calls_from_unanswered_ones)
{
    const outcome_case cases[] = {
        {"answered", true, true, transport_outcome::answered},
        {"unresponsive", true, false, transport_outcome::maybe_sent},
        {"no listener", false, false, transport_outcome::not_sent},
    };
    std::uint16_t port = 18'753;
    for (const auto& it : cases)
    {
        boost::asio::io_context io;
        const wire::endpoint where{"127.0.0.1", port++};
        std::vector<responder> unanswered;
        http_listener server(io, where, "Deadline-Ms", aio::test::ample_guard(),
                             [&](const auto&, const auto& respond)
                             {
                                 if (it.answers)
                                     respond({200, "{}", "", {}});
                                 else
                                     unanswered.push_back(respond);
                             });
        if (it.listens)
            cr_assert(server.start());
        const auto channel =
            std::make_shared<http_channel>(io, where, channel_options{});
        http_call call;
        call.timeout = milliseconds(300);
        http_result result;
        channel->send(std::move(call),
                      [&](http_result out)
                      {
                          result = std::move(out);
                          io.stop();
                      });
        io.run_for(milliseconds(3000));
        cr_assert(result.end == it.end, "%s: %s", it.name,
                  result.reason.c_str());
        channel->close();
    }
}
