#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "mustardwick/aio/peer_hub.hpp"
#include "mustardwick/base/clock.hpp"

namespace mustardwick::entry
{

/// @brief Calls without an answer, for a log line.
struct open_calls_summary
{
    std::map<std::string_view, std::size_t> by_kind;
    std::size_t total = 0;
    std::chrono::milliseconds oldest{0};

    /// @brief Returns the number of calls of each kind, as in "query x2".
    std::string kinds() const
    {
        std::string out;
        for (const auto& [kind, n] : by_kind)
        {
            out += out.empty() ? "" : ", ";
            out += kind;
            out += " x" + std::to_string(n);
        }
        return out;
    }
};

/// @brief Calls that the leader has taken and not answered yet.
///
/// Their callers must not wait for the timeout of the call once leadership has
/// ended: another leader may be able to answer them at once.
class open_calls
{
public:
    /// @brief Returns a responder whose first answer is sent; later ones are
    /// dropped. `kind` outlives the calls.
    aio::peer_responder track(std::string_view kind, base::steady_time now,
                              aio::peer_responder respond)
    {
        const auto id = ++calls_->last_id;
        calls_->open.emplace(id, call{kind, now, std::move(respond)});
        return [calls = calls_, id](std::string answer)
        {
            const auto it = calls->open.find(id);
            if (it == calls->open.end())
                return;
            const auto send = std::move(it->second.respond);
            calls->open.erase(it);
            send(std::move(answer));
        };
    }

    open_calls_summary summary(base::steady_time now) const
    {
        return summary_of(calls_->open, now);
    }

    /// @brief Answers all open calls of a kind. Returns these calls.
    open_calls_summary answer_all(std::string_view kind,
                                  const std::string& answer,
                                  base::steady_time now)
    {
        std::map<std::uint64_t, call> taken;
        for (auto it = calls_->open.begin(); it != calls_->open.end();)
        {
            const auto next = std::next(it);
            if (it->second.kind == kind)
                taken.insert(calls_->open.extract(it));
            it = next;
        }
        for (const auto& [id, it] : taken)
            it.respond(answer);
        return summary_of(taken, now);
    }

    /// @brief Answers all open calls with an empty payload: whether they took
    /// effect is unknown. Returns these calls.
    open_calls_summary abandon(base::steady_time now)
    {
        auto out = summary(now);
        const auto open = std::exchange(calls_->open, {});
        for (const auto& [id, it] : open)
            it.respond({});
        return out;
    }

private:
    struct call
    {
        std::string_view kind;
        base::steady_time since;
        aio::peer_responder respond;
    };

    static open_calls_summary
    summary_of(const std::map<std::uint64_t, call>& calls,
               base::steady_time now)
    {
        open_calls_summary out;
        for (const auto& [id, it] : calls)
        {
            ++out.by_kind[it.kind];
            ++out.total;
            out.oldest =
                std::max(out.oldest,
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             now - it.since));
        }
        return out;
    }

    struct state
    {
        std::map<std::uint64_t, call> open;
        std::uint64_t last_id = 0;
    };

    std::shared_ptr<state> calls_ = std::make_shared<state>();
};

} // namespace mustardwick::entry
