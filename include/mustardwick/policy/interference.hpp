#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mustardwick::policy
{

/// @brief Learns which kinds of work slow each other down on one worker.
///
/// Load pattern: tasks share caches and memory bandwidth beyond the capacity
/// that they request. A slow worker, a wrong estimate and chance look alike in
/// one run: the speed of the worker and the error of the estimate are taken out
/// of a sample before it is recorded, and a pair is believed only when runs
/// beside the neighbour differ from runs without it by much more than chance.
class interference
{
public:
    using kind_id = std::uint16_t;
    static constexpr kind_id unknown_kind = std::numeric_limits<kind_id>::max();

    /// @brief Returns the number of a kind; unknown_kind beyond the limit.
    kind_id id_of(std::string_view kind)
    {
        const auto it = kinds_.find(kind);
        if (it != kinds_.end())
            return it->second;
        if (names_.size() >= max_kinds)
            return unknown_kind;
        const auto id = kind_id(names_.size());
        names_.emplace_back(kind);
        kinds_.emplace(kind, id);
        return id;
    }

    const std::string& name_of(kind_id kind) const
    {
        return names_.at(kind);
    }

    /// @brief Records how much longer a run of a kind took than expected, or
    /// how high its tail latency was.
    /// @param neighbours distinct kinds that ran beside it
    /// @param log_slowdown logarithm of the ratio to the expected value
    void record(kind_id victim, std::span<const kind_id> neighbours,
                double log_slowdown)
    {
        if (victim == unknown_kind)
            return;
        for (const auto it : neighbours)
            if (it != unknown_kind && pairs_.size() < max_pairs)
                pairs_.try_emplace({victim, it});
        const auto begin = pairs_.lower_bound({victim, 0});
        for (auto it = begin; it != pairs_.end() && it->first.first == victim;
             ++it)
        {
            const bool present =
                std::find(neighbours.begin(), neighbours.end(),
                          it->first.second) != neighbours.end();
            auto& pair = it->second;
            (present ? pair.beside : pair.apart).add(log_slowdown);
            update_belief(pair);
        }
    }

    /// @brief Returns whether a neighbour slows a victim down.
    bool disturbs(kind_id neighbour, kind_id victim) const
    {
        if (believed_ == 0)
            return false;
        const auto it = pairs_.find({victim, neighbour});
        return it != pairs_.end() && it->second.is_believed;
    }

    /// @brief Returns the number of pairs that are believed to interfere.
    std::size_t believed() const
    {
        return believed_;
    }

    /// @brief A pair that interferes, with its evidence.
    struct finding
    {
        kind_id victim = unknown_kind;
        kind_id neighbour = unknown_kind;
        double log_slowdown = 0;
        double samples_beside = 0;
    };

    std::vector<finding> findings() const
    {
        std::vector<finding> out;
        for (const auto& [key, it] : pairs_)
            if (it.is_believed)
                out.push_back({key.first, key.second,
                               it.beside.mean - it.apart.mean, it.beside.n});
        return out;
    }

private:
    static constexpr std::size_t max_kinds = 64;
    static constexpr std::size_t max_pairs = 512;
    /// Later samples replace earlier ones, because disturbances move.
    static constexpr double max_weight = 40;
    static constexpr double min_samples = 8;
    /// A slowdown by a quarter matters to callers. The belief ends at a tenth.
    static constexpr double min_effect = 0.223;
    static constexpr double effect_to_keep = 0.095;
    /// Bounds false beliefs among hundreds of pairs.
    static constexpr double min_standard_errors = 4;
    /// Lower bound on the variance of few, equal samples.
    static constexpr double min_variance = 0.01;

    struct moments
    {
        double n = 0;
        double mean = 0;
        double variance = 0;

        void add(double sample)
        {
            n = std::min(n + 1, max_weight);
            const double gain = 1 / n;
            const double difference = sample - mean;
            mean += gain * difference;
            variance = (1 - gain) * (variance + gain * difference * difference);
        }

        double squared_error() const
        {
            return std::max(variance, min_variance) / n;
        }
    };

    struct pair_state
    {
        moments beside;
        moments apart;
        bool is_believed = false;
    };

    void update_belief(pair_state& it)
    {
        const bool was_believed = it.is_believed;
        const double effect = it.beside.mean - it.apart.mean;
        if (it.beside.n < min_samples || it.apart.n < min_samples)
            it.is_believed = false;
        else if (was_believed)
            it.is_believed = effect > effect_to_keep;
        else
            it.is_believed = effect > min_effect &&
                             effect > min_standard_errors *
                                          std::sqrt(it.beside.squared_error() +
                                                    it.apart.squared_error());
        believed_ += (it.is_believed ? 1 : 0) - (was_believed ? 1 : 0);
    }

    std::vector<std::string> names_;
    std::map<std::string, kind_id, std::less<>> kinds_;
    /// By victim, then by neighbour.
    std::map<std::pair<kind_id, kind_id>, pair_state> pairs_;
    std::size_t believed_ = 0;
};

} // namespace mustardwick::policy
