#include "mustardwick/aio/peer_hub.hpp"

#include <criterion/criterion.h>

#include "guard_test.hpp"
#include "mustardwick/base/log.hpp"
#include "narrow_path_test.hpp"

using namespace mustardwick;
using namespace mustardwick::aio;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t path_rate = 200'000;

struct shared_connection_case
{
    const char* name;
    bool is_silent;
    /// Outcome of the call that waits behind the large answer.
    peer_failure second;
    /// Bounds of the time until it ends.
    milliseconds earliest;
    milliseconds latest;
};

/// Two daemons with a narrow path from the second to the first.
struct narrow_cell
{
    explicit narrow_cell(std::uint16_t port)
        : server(io, {host, port}, secret, aio::test::ample_guard(),
                 [](wire::message_type type, const std::string&,
                    const auto& respond)
                 {
                     respond(type == wire::message_type::fetch_configuration
                                 ? std::string(path_rate, 'x')
                                 : std::string("job"));
                 }),
          path_address{host, std::uint16_t(port + 1)},
          path(io, path_address, {host, port}, {path_rate, {}}),
          caller(io, {host, std::uint16_t(port + 2)}, secret,
                 aio::test::ample_guard(),
                 [](auto, const auto&, const auto&) {})
    {
        cr_assert(server.start());
    }

    void call(wire::message_type type, milliseconds timeout,
              std::function<void(peer_failure)> done)
    {
        caller.call(path_address, type, {}, timeout,
                    [done = std::move(done)](const peer_result& result)
                    {
                        done(result.failure);
                    });
    }

    static constexpr const char* host = "127.0.0.1";
    const std::string secret = std::string(32, 's');
    boost::asio::io_context io;
    peer_hub server;
    wire::endpoint path_address;
    aio::test::narrow_path path;
    peer_hub caller;
};

} // namespace

// Guards against a connection that is closed, with all calls that are open on
// it, while a large answer is arriving: calls about jobs end without an answer.
Test(peer_hub, keeps_a_connection_on_which_bytes_arrive)
{
    base::set_up_log("test", base::log_level::error);
    const shared_connection_case cases[] = {
        {"bytes arrive", false, peer_failure::none, milliseconds(800),
         milliseconds(2500)},
        {"silent", true, peer_failure::connection_lost, milliseconds(250),
         milliseconds(700)},
    };
    std::uint16_t port = 18'801;
    for (const auto& it : cases)
    {
        narrow_cell cell(port);
        port += 3;
        std::optional<peer_failure> second;
        std::chrono::steady_clock::time_point begin;
        const auto send_both = [&](peer_failure connected)
        {
            cr_assert(connected == peer_failure::none);
            if (it.is_silent)
                cell.path.go_silent();
            begin = std::chrono::steady_clock::now();
            cell.call(wire::message_type::fetch_configuration,
                      milliseconds(300), [](peer_failure) {});
            cell.call(wire::message_type::query_job, milliseconds(2500),
                      [&](peer_failure failure)
                      {
                          second = failure;
                          cell.io.stop();
                      });
        };
        cell.call(wire::message_type::query_job, milliseconds(1000), send_both);
        cell.io.run_for(milliseconds(5000));
        const auto took = std::chrono::duration_cast<milliseconds>(
            std::chrono::steady_clock::now() - begin);
        cr_assert(second, "%s", it.name);
        cr_expect(*second == it.second, "%s: %s", it.name,
                  std::string(to_string(*second)).c_str());
        cr_expect(took >= it.earliest && took <= it.latest, "%s: %d ms",
                  it.name, int(took.count()));
    }
}
