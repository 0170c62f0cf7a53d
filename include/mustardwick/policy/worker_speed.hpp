#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardwick::policy
{

/// @brief Ratio of run times to estimates among the tasks of one step, which
/// have the same estimate.
struct estimate_baseline
{
    double sum = 0;
    int samples = 0;
};

/// @brief Learned speed of a worker.
struct speed_estimate
{
    /// Natural logarithm of the speed; only differences between workers count.
    double log_speed = 0;
    int samples = 0;
    /// Last runs in a row that deviated much in one direction; negative for
    /// slower ones.
    int deviations = 0;
};

/// @brief Learns how fast each worker is from the run times of tasks.
///
/// Load pattern: workers of unlike speed run short urgent tasks beside long
/// ones with slack. Estimates of run times are wrong by a factor that the tasks
/// of a queue, and more so those of a step, have in common; it is kept apart
/// from the speed of the worker.
class worker_speeds
{
public:
    /// @brief Records a run from its start to its success. Returns the
    /// logarithm of its run time relative to others of its kind on a worker of
    /// this speed; std::nullopt while these are not known.
    std::optional<double> record(std::size_t worker, std::string_view queue,
                                 estimate_baseline& step, double estimate_ms,
                                 double took_ms)
    {
        if (estimate_ms <= 0 || took_ms <= 0)
            return std::nullopt;
        if (worker >= workers_.size())
            workers_.resize(worker + 1);
        auto& it = workers_[worker];
        auto found = queues_.find(queue);
        if (found == queues_.end())
            found = queues_.emplace(std::string(queue), speed_estimate{}).first;
        auto& error = found->second;
        const double ratio = std::clamp(std::log(took_ms / estimate_ms),
                                        -max_log_ratio, max_log_ratio);
        const double expected = (queue_weight * error.log_speed + step.sum) /
                                (queue_weight + step.samples);
        // A shorter run than that of others of its kind shows a faster worker.
        const bool has_baseline = step.samples + error.samples > 0;
        const bool is_known =
            it.samples >= min_samples && error.samples >= min_queue_samples;
        const double slowdown = ratio + it.log_speed - expected;
        if (has_baseline)
        {
            const auto before = it;
            update(it, expected - ratio, min_worker_gain);
            count(before, it);
        }
        const double at_average_speed = ratio + it.log_speed;
        step.sum += at_average_speed;
        ++step.samples;
        update(error, at_average_speed, min_queue_gain);
        return is_known ? std::optional(slowdown) : std::nullopt;
    }

    /// @brief Forgets a worker that restarted: it may be of another kind.
    void forget(std::size_t worker)
    {
        if (worker >= workers_.size())
            return;
        count(workers_[worker], {});
        workers_[worker] = {};
    }

    void restore(std::size_t worker, const speed_estimate& saved)
    {
        if (worker >= workers_.size())
            workers_.resize(worker + 1);
        const speed_estimate restored{
            std::clamp(saved.log_speed, -max_log_ratio, max_log_ratio),
            std::max(saved.samples, 0), 0};
        count(workers_[worker], restored);
        workers_[worker] = restored;
    }

    /// @brief Returns whether the workers differ by more than chance: an order
    /// by noise would scatter work that fits best elsewhere.
    bool are_unlike() const
    {
        return deviation() >= min_deviation;
    }

    /// @brief Returns the standard deviation of the logarithms of the speeds.
    double deviation() const
    {
        if (known_ < 2)
            return 0;
        const double average = log_sum_ / double(known_);
        return std::sqrt(
            std::max(0.0, square_sum_ / double(known_) - average * average));
    }

    /// @brief Returns the factor by which runs of a queue take longer than
    /// estimated on an average worker; 1.0 while little is known.
    double estimate_factor(std::string_view queue) const
    {
        const auto it = queues_.find(queue);
        if (it == queues_.end() || it->second.samples < min_queue_samples)
            return 1.0;
        return std::clamp(std::exp(it->second.log_speed), min_speed, max_speed);
    }

    speed_estimate estimate(std::size_t worker) const
    {
        return worker < workers_.size() ? workers_[worker] : speed_estimate{};
    }

    /// @brief Returns the speed relative to the average worker; 1.0 for one
    /// that little is known of. Bounded, so that a wrong belief costs at most a
    /// wrong order among the workers with room.
    double speed(std::size_t worker) const
    {
        const auto it = estimate(worker);
        if (it.samples < min_samples || !are_unlike())
            return 1.0;
        const double trust =
            double(it.samples) / double(it.samples + min_samples);
        const double average = log_sum_ / double(known_);
        return std::clamp(std::exp(trust * (it.log_speed - average)), min_speed,
                          max_speed);
    }

private:
    static constexpr double max_log_ratio = 2.0;
    /// Runs of other steps of the queue count as much as this many of the step.
    static constexpr double queue_weight = 2.0;
    /// Lower bounds on the weight of a new run; a queue's error changes slowly.
    static constexpr double min_worker_gain = 0.1;
    static constexpr double min_queue_gain = 0.02;
    /// A worker that turns slow is told from chance by runs in a row that are
    /// more than twice as long as expected.
    static constexpr double large_deviation = 0.8;
    static constexpr int deviations_of_a_change = 3;
    static constexpr double gain_after_a_change = 0.35;
    static constexpr int min_samples = 3;
    static constexpr int min_queue_samples = 30;
    /// The first runs of a worker say little about how unlike the workers are.
    static constexpr int min_samples_to_compare = 8;
    /// Workers that differ by a factor of 1.3 showed 0.18 to 0.24, and those
    /// that differ by 2.4 showed 0.4.
    static constexpr double min_deviation = 0.25;
    static constexpr double min_speed = 0.25;
    static constexpr double max_speed = 4.0;

    static void update(speed_estimate& it, double sample, double min_gain)
    {
        ++it.samples;
        const double difference = sample - it.log_speed;
        const int direction = difference < 0 ? -1 : 1;
        const bool deviates = std::abs(difference) > large_deviation;
        if (!deviates || it.deviations * direction < 0)
            it.deviations = 0;
        it.deviations += deviates ? direction : 0;
        const bool has_changed =
            std::abs(it.deviations) >= deviations_of_a_change;
        const double gain =
            std::max(1.0 / (1.0 + it.samples),
                     has_changed ? gain_after_a_change : min_gain);
        it.log_speed += gain * difference;
    }

    /// Keeps the sum of the known speeds: an offset of all of them cannot be
    /// told from the errors of the estimates.
    void count(const speed_estimate& before, const speed_estimate& after)
    {
        const auto add = [this](const speed_estimate& it, double sign)
        {
            if (it.samples < min_samples_to_compare)
                return;
            log_sum_ += sign * it.log_speed;
            square_sum_ += sign * it.log_speed * it.log_speed;
            known_ += sign > 0 ? 1 : -1;
        };
        add(before, -1);
        add(after, 1);
    }

    std::vector<speed_estimate> workers_;
    double log_sum_ = 0;
    double square_sum_ = 0;
    int known_ = 0;
    std::map<std::string, speed_estimate, std::less<>> queues_;
};

/// @brief Returns a step's needed speed relative to the average worker: its
/// remaining run time, with a margin for tasks that take longer than their
/// estimate, over the time that is left.
inline double needed_speed(double remaining_ms, double time_left_ms)
{
    /// The longest of a step's tasks counts, which takes longer than the mean,
    /// and a worker that seems just fast enough may be slower.
    constexpr double margin = 2.0;
    if (remaining_ms <= 0 || time_left_ms <= 0)
        return 0;
    return margin * remaining_ms / time_left_ms;
}

/// @brief Returns the rank of a worker of the given speed for a step; lower
/// ranks first. Equal for workers whose speeds differ little.
///
/// Load pattern: short urgent work and long chains compete for the fast
/// workers with work that has time. The slowest worker that suffices comes
/// first, then the fastest of those that do not.
inline int speed_rank(double speed, double needed)
{
    constexpr double class_ratio = 1.5;
    const int found = int(std::lround(std::log(speed) / std::log(class_ratio)));
    constexpr int insufficient = 100;
    return speed >= needed ? found : insufficient - found;
}

} // namespace mustardwick::policy
