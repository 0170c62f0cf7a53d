#pragma once

#include <algorithm>
#include <concepts>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "mustardwick/policy/scheduler.hpp"

namespace mustardwick::bench
{

using policy::steady_time;

/// @brief Plans scheduling rounds and is notified of submitted jobs.
template <typename Planner>
concept planner = requires(Planner& it, policy::cell& state, steady_time now,
                           const std::string& job)
{
    {it.job_added(job)};
    {
        it.plan(state, now)
        } -> std::same_as<policy::plan>;
};

/// @brief The production planner; the limits can disable single policies.
struct product_planner
{
    policy::round_limits limits;

    void job_added(const std::string&) {}

    policy::plan plan(policy::cell& state, steady_time now) const
    {
        return policy::plan_round(state, now, limits);
    }
};

/// @brief Returns the larger of the used fractions of CPU and memory.
inline double load_of(const policy::cell& state, const policy::host& it)
{
    const auto used = state.used(it.name);
    return std::max(double(used.millicpus) / double(it.capacity.millicpus),
                    double(used.memory_mb) / double(it.capacity.memory_mb));
}

inline bool has_free_capacity(const policy::cell& state, const policy::host& it,
                              const policy::resources& size)
{
    return it.accepts_work && size.fits_in(it.capacity - state.used(it.name));
}

/// @brief Chooses the first host, by name, with enough free capacity.
struct first_fit
{
    const policy::host* operator()(const policy::cell& state,
                                   const policy::resources& size)
    {
        for (const auto& [name, it] : state.hosts())
            if (has_free_capacity(state, it, size))
                return &it;
        return nullptr;
    }
};

/// @brief Chooses a random host with enough free capacity.
struct random_fit
{
    std::mt19937_64 random{7};

    const policy::host* operator()(const policy::cell& state,
                                   const policy::resources& size)
    {
        std::vector<const policy::host*> candidates;
        for (const auto& [name, it] : state.hosts())
            if (has_free_capacity(state, it, size))
                candidates.push_back(&it);
        return candidates.empty() ? nullptr
                                  : candidates[random() % candidates.size()];
    }
};

/// @brief Chooses the least loaded host with enough free capacity.
struct least_loaded
{
    const policy::host* operator()(const policy::cell& state,
                                   const policy::resources& size)
    {
        const policy::host* best = nullptr;
        double lowest = 0;
        for (const auto& [name, it] : state.hosts())
        {
            if (!has_free_capacity(state, it, size))
                continue;
            const auto load = load_of(state, it);
            if (best != nullptr && load >= lowest)
                continue;
            best = &it;
            lowest = load;
        }
        return best;
    }
};

/// @brief Places jobs in submission order, without shares, priority classes,
/// preemption, reservations or moves. Jobs that do not fit are skipped.
template <typename Choose>
class fifo_planner
{
public:
    void job_added(const std::string& job)
    {
        waiting_.push_back(job);
    }

    policy::plan plan(policy::cell& state, steady_time now)
    {
        policy::plan result;
        failed_sizes_.clear();
        std::deque<std::string> remaining;
        for (const auto& id : waiting_)
            if (state.find_job(id) != nullptr &&
                !place_all(state, id, now, result))
                remaining.push_back(id);
        waiting_ = std::move(remaining);
        return result;
    }

    /// @brief Puts a job with stopped tasks back at the head of the queue.
    void requeue(const std::string& job)
    {
        if (std::ranges::find(waiting_, job) == waiting_.end())
            waiting_.push_front(job);
    }

private:
    bool exceeds_failed_size(const policy::resources& size) const
    {
        return std::ranges::any_of(failed_sizes_,
                                   [&](const auto& failed)
                                   {
                                       return failed.fits_in(size);
                                   });
    }

    bool place_all(policy::cell& state, const std::string& id, steady_time now,
                   policy::plan& result)
    {
        const auto& work = *state.find_job(id);
        const bool gang = work.kind == policy::work_kind::gang;
        const auto before = result.placements.size();
        for (int i = 0; i < work.tasks && state.pending(id) > 0; ++i)
        {
            const auto* host = exceeds_failed_size(work.size)
                                   ? nullptr
                                   : choose_(state, work.size);
            if (host == nullptr)
            {
                if (!gang)
                    failed_sizes_.push_back(work.size);
                break;
            }
            if (state.start({id, i}, host->name, now))
                result.placements.push_back({{id, i}, host->name});
        }
        const bool done = state.pending(id) == 0;
        if (gang && !done)
            undo(state, result, before);
        return done;
    }

    static void undo(policy::cell& state, policy::plan& result,
                     std::size_t before)
    {
        for (auto i = before; i < result.placements.size(); ++i)
            state.stop(result.placements[i].id, false);
        result.placements.resize(before);
    }

    Choose choose_;
    std::deque<std::string> waiting_;
    std::vector<policy::resources> failed_sizes_;
};

} // namespace mustardwick::bench
