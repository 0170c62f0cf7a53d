#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/base/clock.hpp"

namespace mustardwick::entry
{

/// @brief The attempts of a call to the leader, for the log line of a call that
/// got no answer.
class call_trace
{
public:
    call_trace() = default;
    explicit call_trace(base::steady_time begin) : begin_(begin) {}

    /// @brief Records an attempt without an answer. `outcome` outlives the
    /// trace.
    void failed(std::string_view outcome, std::string leader,
                std::int64_t epoch, base::steady_time now)
    {
        ++attempts_;
        leader_ = std::move(leader);
        epoch_ = epoch;
        const auto it = std::find_if(outcomes_.begin(), outcomes_.end(),
                                     [&](const auto& other)
                                     {
                                         return other.text == outcome;
                                     });
        if (it == outcomes_.end())
            outcomes_.push_back({outcome, age(now), 1});
        else
            ++it->count;
    }

    int attempts() const
    {
        return attempts_;
    }

    const std::string& leader() const
    {
        return leader_;
    }

    std::int64_t epoch() const
    {
        return epoch_;
    }

    std::chrono::milliseconds age(base::steady_time now) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                     begin_);
    }

    /// @brief Returns each outcome with its count and the milliseconds from the
    /// call to its first occurrence, as in "timed out x2 from 1500".
    std::string outcomes() const
    {
        std::string out;
        for (const auto& it : outcomes_)
        {
            out += out.empty() ? "" : ", ";
            out += it.text;
            out += " x" + std::to_string(it.count) + " from " +
                   std::to_string(it.first.count());
        }
        return out;
    }

private:
    struct outcome
    {
        std::string_view text;
        std::chrono::milliseconds first;
        int count;
    };

    base::steady_time begin_;
    int attempts_ = 0;
    std::string leader_;
    std::int64_t epoch_ = 0;
    std::vector<outcome> outcomes_;
};

} // namespace mustardwick::entry
