#pragma once

#include <memory>
#include <optional>
#include <string>

#include <criterion/criterion.h>

#include "head_store_test.hpp"
#include "mustardwick/entry/cell_leader.hpp"
#include "mustardwick/wire/codec.hpp"
#include "src/mustardwick/aio/guard_test.hpp"

namespace mustardwick::entry::test
{

using std::chrono::milliseconds;
using wire::message_type;

/// A leader with its store in one process.
struct leader_fixture : store_fixture
{
    explicit leader_fixture(std::uint16_t port)
        : store_fixture(port, store_fault::none, {}),
          peers(io, {"127.0.0.1", 0}, "secret", aio::test::ample_guard(),
                [](message_type, const std::string&, const auto&) {}),
          advice(io, {"127.0.0.1", 9}),
          leader(std::make_shared<cell_leader>(
              cell_leader::environment{io, clock, suspensions, options, client,
                                       peers, advice, metrics, processor},
              head_record{1, "a", "", 0, "", false}, store.version,
              [this](const std::optional<member_record>&)
              {
                  lost = true;
              }))
    {
        leader->start({});
        run_until(
            [this]
            {
                return call(message_type::count_waiting, queue_query{"q"});
            });
    }

    ~leader_fixture()
    {
        leader->stop();
        io.run_for(milliseconds(10));
    }

    leader_fixture(const leader_fixture&) = delete;
    leader_fixture& operator=(const leader_fixture&) = delete;

    template <typename Condition>
    void run_until(Condition&& condition,
                   milliseconds longest = std::chrono::seconds(5))
    {
        const auto give_up = clock.now() + longest;
        while (!condition() && clock.now() < give_up)
            io.run_one_for(milliseconds(20));
    }

    /// Returns whether the leader takes the call.
    template <typename Message>
    bool call(message_type type, const Message& message)
    {
        reply.reset();
        return leader->handle(type, wire::encode(message),
                              [this](std::string out)
                              {
                                  reply = std::move(out);
                              });
    }

    base::system_suspend_clock suspensions;
    settings options;
    processor_probe processor{clock};
    aio::peer_hub peers;
    platform::advice_client advice;
    bool lost = false;
    std::optional<std::string> reply;
    std::shared_ptr<cell_leader> leader;
};

} // namespace mustardwick::entry::test
