#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>

#include "mustardwick/policy/cell.hpp"
#include "mustardwick/policy/usage.hpp"

#include "amounts.hpp"
#include "fit_tree.hpp"
#include "free_space_log.hpp"
#include "job_queue.hpp"

namespace mustardwick::policy
{

struct team_entry;

/// @brief A job with its pending tasks and its place in the queue.
struct job_entry
{
    const job* value = nullptr;
    team_entry* team = nullptr;
    std::set<int> pending;
    std::set<int> running;
    /// Tasks for which a place is held; they are not in the queue.
    std::set<int> claimed;
    /// The last round in which a task was started.
    std::uint64_t round = 0;
    bool rejected = false;
    bool queued = false;
    int run_time_class = 0;
    job_shape shape;
    queue_place place;
    /// Running tasks of a service by failure domain, rack and host.
    std::map<int, int> in_domain;
    std::map<int, int> in_rack;
    std::map<int, int> on_host;
};

/// @brief A team with what it uses and its queue of each class.
struct team_entry
{
    team value;
    resources used;
    resources used_by_services;
    std::array<job_queue, 3> queues;

    bool has_limit() const
    {
        return value.limit != resources{-1, -1, -1};
    }

    /// @brief Makes the next round try jobs again that were over the limit.
    void clear_failed()
    {
        for (auto& it : queues)
            it.clear_failed();
    }
};

/// @brief A running task on a host, with its job.
struct host_task
{
    const running_task* task = nullptr;
    job_entry* job = nullptr;
    /// Told to stop; holds its resources until the stop is confirmed.
    bool stopping = false;
    /// The round after which the task was started.
    std::uint64_t round = 0;
};

/// @brief Counts the starts on a host whose outcome is not known yet.
class recent_starts
{
public:
    void record(steady_time now)
    {
        if (count_ == 0 || now - window_start_ >= report_interval)
        {
            window_start_ = now;
            count_ = 0;
        }
        ++count_;
    }

    /// @brief True while the host should prove itself before it gets more.
    bool at_limit(steady_time now) const
    {
        return count_ >= max_unreported_starts &&
               now - window_start_ < report_interval;
    }

private:
    /// Ends are reported with the next renewal of the worker's lease, which is
    /// 1.5 s away at most.
    static constexpr milliseconds report_interval{2000};
    /// Twice the failures in a row after which a worker is quarantined.
    static constexpr int max_unreported_starts = 10;

    steady_time window_start_{};
    int count_ = 0;
};

/// @brief A host with what is used and held on it.
struct host_slot
{
    std::string name;
    /// Null when the host was removed while tasks ran on it.
    const host* value = nullptr;
    resources used;
    resources used_by_urgent;
    resources used_by_services;
    /// The part of used that becomes free once stops are confirmed.
    resources stopping;
    /// Held for tasks that were promised a place on this host.
    resources claimed;
    /// Held for the job that has the reservation.
    resources reserved;
    /// What was neither used nor claimed at the last update.
    resources space;
    int domain = -1;
    int rack = -1;
    std::size_t leaf = 0;
    /// False until a returning host may take work again.
    bool admitted = true;
    /// True once the host accepted work; its first time needs no bound, so
    /// that a new planner can use all hosts at once.
    bool has_served = false;
    std::vector<host_task> tasks;
    recent_starts recent;

    bool open() const
    {
        return value != nullptr && value->accepts_work && admitted;
    }

    resources capacity() const
    {
        return value != nullptr ? value->capacity : resources{};
    }

    /// @brief Free amount that nothing else was promised.
    resources free() const
    {
        return capacity() - used - claimed - reserved;
    }
};

/// @brief The hosts of one failure domain; those with accelerators come last.
struct domain_entry
{
    std::string name;
    std::vector<int> slots;
    /// Free amounts of the hosts that accept work.
    fit_tree free;
    /// What urgent work could get by preemption.
    fit_tree preemptible;
};

/// @brief A place that is held for a task which will be started there.
struct task_claim
{
    int slot = -1;
    resources size;
};

/// @brief Hosts that are kept free for the one job that has the reservation.
struct job_reservation
{
    job_entry* job = nullptr;
    /// Number of tasks to start on each reserved host.
    std::map<int, int> units;
    /// Expected start; shorter tasks may use the hosts until then.
    steady_time start;
};

/// @brief A host that came back and may take work again from a time on.
struct returning_host
{
    int slot = -1;
    std::optional<steady_time> ready;
};

struct cell::state
{
    std::map<std::string, host, std::less<>> hosts;
    std::map<std::string, job, std::less<>> jobs;
    std::map<task_id, running_task> running;

    std::deque<host_slot> slots;
    std::map<std::string, int, std::less<>> slot_of;
    std::vector<int> unused_slots;
    std::vector<domain_entry> domains;
    std::map<std::string, int, std::less<>> rack_of;
    bool topology_changed = false;

    std::unordered_map<std::string_view, job_entry> entries;
    std::map<std::string, team_entry, std::less<>> teams;
    /// Jobs that were not yet checked for being possible at all.
    std::vector<std::string> unchecked;
    resources capacity;

    /// Counts the planning rounds.
    std::uint64_t round = 0;

    /// The events that made space.
    free_space_log space_log;
    std::uint64_t failed_at = 0;
    /// Sizes that fit nowhere since the last growth.
    std::vector<resources> unplaceable_sizes;

    /// Whether a shape fits in the whole empty cell; cleared with the hosts.
    std::map<job_shape, bool> possible;
    std::map<task_id, task_claim> claims;
    job_reservation reservation;
    /// No reservation is tried before this time, because none was possible.
    steady_time next_reservation;
    /// Hosts that do not accept work, and since when they have to be emptied.
    std::map<int, std::optional<steady_time>> closed;
    std::vector<returning_host> returning;
    /// No host is admitted before this time, to bound the rate.
    steady_time next_admission;
    steady_time next_move = steady_time::min();
    usage_history usage;

    job_entry* entry(std::string_view id);
    host_slot* slot(std::string_view name);
    team_entry& team_for(std::string_view name);

    /// @brief Rebuilds the trees after hosts were added, removed or relocated.
    void rebuild_topology();

    /// @brief Brings the trees up to date with one host.
    void update_slot(int index);

    /// @brief Puts a job where its pending tasks belong in the queue.
    void requeue(job_entry& it);

    /// @brief Holds a place for a task; replaces an earlier claim.
    void make_claim(const task_id& id, int slot);
    void release_claim(const task_id& id);

    void make_reservation(job_reservation value);
    void release_reservation();

    /// @brief Drops the claims and the reservation of a job.
    void release_job_holds(const job_entry& it);

    /// @brief True when a task, or one of its gang, started in this round. Such
    /// a task is not removed again in the same round.
    bool started_now(const host_task& it) const;

    /// @brief Releases the claims on a host and a reservation that includes it.
    void release_host_holds(int slot);

    /// @brief Marks a running task as told to stop.
    void mark_stopping(const task_id& id);

    /// @brief Notes that a host accepts work again.
    void record_return(int slot);

    /// @brief Adds (+1) or removes (-1) a running task of a job on a host.
    void count_task(job_entry& it, int index, int sign);
};

} // namespace mustardwick::policy
