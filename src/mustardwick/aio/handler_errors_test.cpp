#include <stdexcept>

#include <criterion/criterion.h>

#include "guard_test.hpp"
#include "mustardwick/aio/http_channel.hpp"
#include "mustardwick/aio/http_listener.hpp"
#include "mustardwick/aio/peer_hub.hpp"
#include "mustardwick/base/log.hpp"

using namespace mustardwick;
using namespace mustardwick::aio;
using std::chrono::milliseconds;

// Guards against a daemon that ends because the handler of one request throws.
Test(handler_errors, cost_only_their_request)
{
    base::set_up_log("test", base::log_level::error);
    boost::asio::io_context io;
    const wire::endpoint where{"127.0.0.1", 18'743};
    http_listener server(io, where, "Deadline-Ms", aio::test::ample_guard(),
                         [](const auto& request, const auto& respond)
                         {
                             if (request.target == "/odd")
                                 throw std::runtime_error("unexpected");
                             respond({200, "{}", "application/json", {}});
                             if (request.target == "/late")
                                 throw std::runtime_error("unexpected");
                         });
    cr_assert(server.start());
    const auto channel =
        std::make_shared<http_channel>(io, where, channel_options{});
    const std::pair<const char*, int> cases[] = {{"/odd", 500},
                                                 {"/usual", 200},
                                                 {"/late", 200},
                                                 {"/odd", 500},
                                                 {"/usual", 200}};
    for (const auto& [target, status] : cases)
    {
        http_call call;
        call.target = target;
        http_result result;
        channel->send(std::move(call),
                      [&](http_result out)
                      {
                          result = std::move(out);
                          io.stop();
                      });
        io.restart();
        io.run_for(milliseconds(3000));
        cr_assert_eq(result.status, status, "%s", target);
    }
    channel->close();
}

// Guards against a daemon that ends because the handler of one peer message
// throws: only the connection that carried it is closed.
Test(handler_errors, cost_only_their_peer_connection)
{
    base::set_up_log("test", base::log_level::error);
    boost::asio::io_context io;
    const wire::endpoint left{"127.0.0.1", 18'745};
    const wire::endpoint right{"127.0.0.1", 18'747};
    peer_hub caller(io, left, "secret", aio::test::ample_guard(),
                    [](auto, const auto&, const auto&) {});
    peer_hub server(io, right, "secret", aio::test::ample_guard(),
                    [](auto, const std::string& payload, const auto& respond)
                    {
                        if (payload == "odd")
                            throw std::runtime_error("unexpected");
                        respond(payload);
                    });
    cr_assert(caller.start() && server.start());
    const std::pair<const char*, bool> cases[] = {
        {"usual", true}, {"odd", false}, {"usual", true}};
    for (const auto& [payload, answered] : cases)
    {
        peer_result result{peer_failure::timed_out, {}};
        caller.call(right, wire::message_type::query_job, payload,
                    milliseconds(1000),
                    [&](peer_result out)
                    {
                        result = std::move(out);
                        io.stop();
                    });
        io.restart();
        io.run_for(milliseconds(3000));
        cr_assert_eq(result.answered(), answered, "%s", payload);
    }
}

// Guards against frames that are lost or mixed up when several arrive in one
// read, or one in many reads.
Test(peer_frames, arrive_whole_and_in_order)
{
    base::set_up_log("test", base::log_level::error);
    boost::asio::io_context io;
    const wire::endpoint left{"127.0.0.1", 18'749};
    const wire::endpoint right{"127.0.0.1", 18'751};
    peer_hub caller(io, left, "secret", aio::test::ample_guard(),
                    [](auto, const auto&, const auto&) {});
    peer_hub server(io, right, "secret", aio::test::ample_guard(),
                    [](auto, const std::string& payload, const auto& respond)
                    {
                        respond(payload);
                    });
    cr_assert(caller.start() && server.start());
    const std::size_t sizes[] = {0, 1, 100'000, 8163, 8192, 3, 1'000'000, 7};
    int answers = 0;
    for (const auto n : sizes)
    {
        const auto payload = std::string(n, char('a' + answers % 26));
        caller.call(right, wire::message_type::query_job, payload,
                    milliseconds(3000),
                    [&, payload](const peer_result& out)
                    {
                        cr_expect(out.answered());
                        cr_expect(out.payload == payload);
                        if (++answers == int(std::size(sizes)))
                            io.stop();
                    });
    }
    io.run_for(milliseconds(5000));
    cr_assert_eq(answers, int(std::size(sizes)));
}
