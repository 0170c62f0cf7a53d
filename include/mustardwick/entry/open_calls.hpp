#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "mustardwick/aio/peer_hub.hpp"

namespace mustardwick::entry
{

/// @brief Calls that the leader has taken and not answered yet.
///
/// Their callers must not wait for the timeout of the call once leadership has
/// ended: another leader may be able to answer them at once.
class open_calls
{
public:
    /// @brief Returns a responder whose first answer is sent; later ones are
    /// dropped.
    aio::peer_responder track(aio::peer_responder respond)
    {
        const auto id = ++calls_->last_id;
        calls_->open.emplace(id, std::move(respond));
        return [calls = calls_, id](std::string answer)
        {
            const auto it = calls->open.find(id);
            if (it == calls->open.end())
                return;
            const auto send = std::move(it->second);
            calls->open.erase(it);
            send(std::move(answer));
        };
    }

    /// @brief Answers all open calls with an empty payload: whether they took
    /// effect is unknown. Returns the number of calls.
    std::size_t abandon()
    {
        const auto open = std::exchange(calls_->open, {});
        for (const auto& [id, send] : open)
            send({});
        return open.size();
    }

private:
    struct state
    {
        std::map<std::uint64_t, aio::peer_responder> open;
        std::uint64_t last_id = 0;
    };

    std::shared_ptr<state> calls_ = std::make_shared<state>();
};

} // namespace mustardwick::entry
