#include <array>
#include <memory>
#include <optional>

#include <criterion/criterion.h>

#include "entry_node_impl.hpp"
#include "mustardwick/base/log.hpp"
#include "mustardwick/wire/codec.hpp"
#include "src/mustardwick/aio/guard_test.hpp"

using namespace mustardwick;
using namespace mustardwick::entry;

namespace
{

/// What becomes of the first copy of a call.
enum class first_copy
{
    refused,
    unanswered,
    /// The leader gave up leadership before it knew the outcome.
    abandoned,
    /// A daemon that does not lead took it.
    not_taken
};

struct copies_case
{
    const char* name;
    first_copy first;
    bool has_unanswered_copy;
    std::uint16_t port;
};

} // namespace

// Guards against a refusal of a later copy that is taken for one of all copies,
// although a leader may still accept an earlier one (review/11).
Test(leader_calls, remember_copies_without_an_answer)
{
    base::set_up_log("test", base::log_level::error);
    const std::array cases = {
        copies_case{"refused", first_copy::refused, false, 18961},
        copies_case{"unanswered", first_copy::unanswered, true, 18962},
        copies_case{"abandoned", first_copy::abandoned, true, 18963},
        copies_case{"not taken", first_copy::not_taken, false, 18964},
    };
    for (const auto& it : cases)
    {
        const auto node = std::make_shared<entry_node::impl>(settings{});
        int copies = 0;
        std::vector<aio::peer_responder> unanswered;
        const auto on_call = [&](message_type, const std::string&,
                                 const aio::peer_responder& respond)
        {
            const bool is_first = ++copies == 1;
            if (is_first && it.first == first_copy::unanswered)
                unanswered.push_back(respond);
            else if (is_first && it.first == first_copy::abandoned)
                respond({});
            else if (is_first && it.first == first_copy::not_taken)
                respond(wire::encode(job_reply{}));
            else
                respond(
                    wire::encode(job_reply{reply_status::store_unavailable}));
        };
        const wire::endpoint address{"127.0.0.1", it.port};
        aio::peer_hub other(node->io, address, "secret",
                            aio::test::ample_guard(), on_call);
        cr_assert(other.start(), "%s", it.name);
        node->peers = std::make_unique<aio::peer_hub>(
            node->io, wire::endpoint{"127.0.0.1", 0}, "secret",
            aio::test::ample_guard(),
            [](message_type, const std::string&, const auto&) {});
        node->known_leader = {1, "other", address};
        std::optional<leader_result> result;
        node->call_leader(message_type::submit_job, "job",
                          node->clock.now() + std::chrono::seconds(5),
                          [&](leader_result found)
                          {
                              result = std::move(found);
                          });
        const auto give_up = node->clock.now() + std::chrono::seconds(6);
        while (!result && node->clock.now() < give_up)
            node->io.run_one_for(milliseconds(20));
        cr_assert(result && result->reply, "%s", it.name);
        cr_assert_eq(result->reply->status, reply_status::store_unavailable,
                     "%s", it.name);
        cr_assert_eq(result->has_unanswered_copy, it.has_unanswered_copy, "%s",
                     it.name);
        cr_assert_eq(copies, it.first == first_copy::refused ? 1 : 2, "%s",
                     it.name);
        other.stop();
        node->peers->stop();
        node->io.run_for(milliseconds(10));
    }
}
