#include "mustardwick/aio/http_channel.hpp"

#include <criterion/criterion.h>

#include "guard_test.hpp"
#include "mustardwick/aio/http_listener.hpp"
#include "narrow_path_test.hpp"

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

namespace
{

struct slow_answer_case
{
    const char* name;
    aio::test::path_limits path;
    std::optional<milliseconds> stall_timeout;
    transport_outcome end;
    /// Bounds of the time until the call ends.
    milliseconds earliest;
    milliseconds latest;
};

} // namespace

// Guards against a large answer that is abandoned on its way and asked for
// again without end, and against one that has stopped arriving and is awaited
// for ever.
Test(http_channel, waits_for_a_large_answer_as_long_as_it_arrives)
{
    constexpr std::size_t rate = 200'000;
    const std::string body(rate, 'x');
    const slow_answer_case cases[] = {
        {"arrives slowly",
         {rate, {}},
         milliseconds(300),
         transport_outcome::answered,
         milliseconds(900),
         milliseconds(3000)},
        {"stops arriving",
         {rate, rate / 2},
         milliseconds(300),
         transport_outcome::maybe_sent,
         milliseconds(700),
         milliseconds(1500)},
        {"arrives too slowly to be of use",
         {2'000, {}},
         milliseconds(300),
         transport_outcome::maybe_sent,
         milliseconds(290),
         milliseconds(1000)},
        {"does not begin",
         {rate, 0},
         milliseconds(300),
         transport_outcome::maybe_sent,
         milliseconds(350),
         milliseconds(700)},
        {"limited as a whole",
         {rate, {}},
         std::nullopt,
         transport_outcome::maybe_sent,
         milliseconds(350),
         milliseconds(700)},
    };
    std::uint16_t port = 18'791;
    for (const auto& it : cases)
    {
        boost::asio::io_context io;
        const wire::endpoint server_address{"127.0.0.1", port++};
        const wire::endpoint path_address{"127.0.0.1", port++};
        http_listener server(io, server_address, "Deadline-Ms",
                             aio::test::ample_guard(),
                             [&](const auto&, const auto& respond)
                             {
                                 respond({200, body, "text/plain", {}});
                             });
        cr_assert(server.start());
        const aio::test::narrow_path path(io, path_address, server_address,
                                          it.path);
        const auto channel =
            std::make_shared<http_channel>(io, path_address, channel_options{});
        http_call call;
        call.method = "GET";
        call.timeout = milliseconds(400);
        call.stall_timeout = it.stall_timeout;
        http_result result;
        const auto begin = std::chrono::steady_clock::now();
        channel->send(std::move(call),
                      [&](http_result out)
                      {
                          result = std::move(out);
                          io.stop();
                      });
        io.run_for(milliseconds(5000));
        const auto took = std::chrono::duration_cast<milliseconds>(
            std::chrono::steady_clock::now() - begin);
        cr_expect(result.end == it.end, "%s: %s", it.name,
                  result.reason.c_str());
        cr_expect(took >= it.earliest && took <= it.latest, "%s: %d ms",
                  it.name, int(took.count()));
        if (result.answered())
            cr_expect_eq(result.body, body);
        channel->close();
    }
}

namespace
{

/// The peer answers "/who" with the number of its process.
channel_options options_with_identification()
{
    channel_options out;
    out.identify = []
    {
        identification it;
        it.call.target = "/who";
        it.process_of = [](const http_result& result)
        {
            return std::optional<std::int64_t>(std::stoll(result.body));
        };
        return it;
    };
    return out;
}

/// Sends a call and returns its result, if there is one within 3 s.
std::optional<http_result> answer_to(boost::asio::io_context& io,
                                     http_channel& channel, http_call call)
{
    std::optional<http_result> out;
    channel.send(std::move(call),
                 [&](http_result result)
                 {
                     out = std::move(result);
                     io.stop();
                 });
    io.restart();
    io.run_for(milliseconds(3000));
    return out;
}

struct recipient_case
{
    const char* name;
    std::int64_t meant;
    transport_outcome end;
    /// Calls that the second process receives after the identification.
    int received;
};

} // namespace

// Guards against a call that reaches another process than the one that it was
// meant for, because that process has started at the same address (issue 48).
Test(http_channel, sends_no_call_to_another_process_at_the_address)
{
    const recipient_case cases[] = {
        {"former process", 1, transport_outcome::other_process, 0},
        {"present process", 2, transport_outcome::answered, 1},
    };
    std::uint16_t port = 18'781;
    for (const auto& it : cases)
    {
        boost::asio::io_context io;
        const wire::endpoint where{"127.0.0.1", port++};
        int received = 0;
        const auto start_process = [&](int process)
        {
            auto out = std::make_unique<http_listener>(
                io, where, "Deadline-Ms", aio::test::ample_guard(),
                [&received, process](const auto& request, const auto& respond)
                {
                    const bool identifies = request.target == "/who";
                    received += identifies ? 0 : 1;
                    respond({200, std::to_string(process), "", {}});
                });
            cr_assert(out->start());
            return out;
        };
        const auto channel = std::make_shared<http_channel>(
            io, where, options_with_identification());
        const auto call = [&](std::int64_t process)
        {
            http_call out;
            out.target = "/work";
            out.process = process;
            const auto result = answer_to(io, *channel, std::move(out));
            cr_assert(result.has_value(), "%s", it.name);
            return result->end;
        };
        auto process = start_process(1);
        cr_assert(call(1) == transport_outcome::answered, "%s", it.name);
        process.reset();
        process = start_process(2);
        received = 0;
        cr_assert(call(it.meant) == it.end, "%s", it.name);
        cr_assert_eq(received, it.received, "%s", it.name);
        channel->close();
    }
}

namespace
{

struct closing_case
{
    const char* name;
    /// The identification whose answer closes its connection.
    bool closes;
    std::int64_t meant;
    transport_outcome end;
    bool is_verified;
    /// Calls that the server receives, and their connections.
    int identifications;
    int received;
    std::uint64_t connections;
};

} // namespace

// Guards against a peer that closes its connection after each answer and gets
// no calls, and against calls to a peer that keeps its connections which cost
// more than before.
Test(http_channel, reaches_a_peer_that_closes_after_each_answer)
{
    const closing_case cases[] = {
        {"keeps", false, 1, transport_outcome::answered, true, 1, 2, 1},
        {"closes", true, 1, transport_outcome::answered, false, 2, 2, 4},
        {"closes, another process is meant", true, 2,
         transport_outcome::other_process, true, 2, 0, 2},
    };
    std::uint16_t port = 18'821;
    for (const auto& it : cases)
    {
        boost::asio::io_context io;
        const wire::endpoint where{"127.0.0.1", port++};
        int identifications = 0;
        int received = 0;
        http_listener server(io, where, "Deadline-Ms", aio::test::ample_guard(),
                             [&](const auto& request, const auto& respond)
                             {
                                 const bool identifies =
                                     request.target == "/who";
                                 identifications += identifies ? 1 : 0;
                                 received += identifies ? 0 : 1;
                                 respond({200, "1", "", {}});
                             });
        cr_assert(server.start());
        if (it.closes)
            server.begin_drain();
        const auto channel = std::make_shared<http_channel>(
            io, where, options_with_identification());
        for (int call = 0; call < 2; ++call)
        {
            std::optional<bool> made_verified;
            http_call sent;
            sent.target = "/work";
            sent.process = it.meant;
            sent.make_body = [&](bool is_verified)
            {
                made_verified = is_verified;
                return std::string("{}");
            };
            const auto result = answer_to(io, *channel, std::move(sent));
            cr_assert(result.has_value(), "%s", it.name);
            cr_assert(result->end == it.end, "%s: %s", it.name,
                      result->reason.c_str());
            cr_assert_eq(result->is_verified, it.is_verified, "%s", it.name);
            if (result->answered())
                cr_assert_eq(made_verified.value(), it.is_verified, "%s",
                             it.name);
        }
        cr_assert_eq(identifications, it.identifications, "%s", it.name);
        cr_assert_eq(received, it.received, "%s", it.name);
        cr_assert_eq(channel->connections_opened(), it.connections, "%s",
                     it.name);
        channel->close();
    }
}
