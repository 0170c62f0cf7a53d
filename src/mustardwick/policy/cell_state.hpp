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

/// @brief A job with the state of its tasks and its place in the queue.
struct job_entry
{
    const job* value = nullptr;
    team_entry* team = nullptr;
    std::set<int> pending;
    std::set<int> running;
    /// Tasks with a claim on a host; they are not in the queue.
    std::set<int> claimed;
    /// The last round in which a task of the job was started.
    std::uint64_t round = 0;
    bool rejected = false;
    bool queued = false;
    int run_time_class = 0;
    job_shape shape;
    queue_place place;
    /// Number of running tasks of a service by failure domain, rack and host.
    std::map<int, int> in_domain;
    std::map<int, int> in_rack;
    std::map<int, int> on_host;
};

/// @brief A team with its usage and one queue per priority class.
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

    /// @brief Makes the next round retry all jobs, for example after the limit
    /// changed.
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
    /// The task was told to stop; it holds its resources until the stop is
    /// confirmed.
    bool stopping = false;
    /// The planning round in which the task was started.
    std::uint64_t round = 0;
};

/// @brief Counts the recent starts on a host whose outcomes may not be reported
/// yet.
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

    /// @brief Returns whether tasks should prefer other hosts until the
    /// outcomes of the recent starts are reported.
    bool at_limit(steady_time now) const
    {
        return count_ >= max_unreported_starts &&
               now - window_start_ < report_interval;
    }

private:
    /// Workers report ended tasks with the next renewal of their lease, at most
    /// 1.5 s later.
    static constexpr milliseconds report_interval{2000};
    /// Twice the number of consecutive failures that quarantine a worker.
    static constexpr int max_unreported_starts = 10;

    steady_time window_start_{};
    int count_ = 0;
};

/// @brief A host with the resources used, claimed and reserved on it.
struct host_slot
{
    std::string name;
    /// Null when the host is unknown or was removed while tasks ran on it.
    const host* value = nullptr;
    resources used;
    resources used_by_urgent;
    resources used_by_services;
    /// The part of used that becomes free once pending stops are confirmed.
    resources stopping;
    /// Held for the tasks with a claim on this host.
    resources claimed;
    /// Held for the job that has the reservation.
    resources reserved;
    /// The resources neither used nor claimed at the last update.
    resources space;
    int domain = -1;
    int rack = -1;
    /// Index of the host in the slots and fit trees of its failure domain.
    std::size_t leaf = 0;
    /// False until a returning host may take work again.
    bool admitted = true;
    /// True once the host has accepted work. The first admission is not rate
    /// limited, so that a new planner can use all hosts at once.
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

    /// @brief Returns the resources that are neither used, claimed nor
    /// reserved.
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
    /// Free resources of the hosts that accept work.
    fit_tree free;
    /// Resources that urgent work could get by preemption.
    fit_tree preemptible;
};

/// @brief Resources held on a host for a task that will start there.
struct task_claim
{
    int slot = -1;
    resources size;
};

/// @brief The hosts reserved for one job. At most one job has a reservation.
struct job_reservation
{
    job_entry* job = nullptr;
    /// Number of tasks to start on each reserved host.
    std::map<int, int> units;
    /// Expected start of the job; tasks that end earlier may be backfilled.
    steady_time start;
};

/// @brief A returning host that waits for its admission.
struct returning_host
{
    int slot = -1;
    /// Time of the admission; empty until it is scheduled.
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
    /// Jobs not yet checked by reject_impossible().
    std::vector<std::string> unchecked;
    resources capacity;

    /// Counts the planning rounds.
    std::uint64_t round = 0;

    /// Log of the hosts on which free space grew.
    free_space_log space_log;
    std::uint64_t failed_at = 0;
    /// Sizes that fit on no host at version failed_at of the space log.
    std::vector<resources> unplaceable_sizes;

    /// Whether a shape fits in the empty cell; cleared when capacities change.
    std::map<job_shape, bool> possible;
    std::map<task_id, task_claim> claims;
    job_reservation reservation;
    /// Earliest time of the next reservation attempt, after failed ones.
    steady_time next_reservation;
    /// Hosts that do not accept work, with the time when their drain started;
    /// empty until the first round that has tasks to move off the host.
    std::map<int, std::optional<steady_time>> closed;
    std::vector<returning_host> returning;
    /// Earliest time of the next admission of a returning host.
    steady_time next_admission;
    steady_time next_move = steady_time::min();
    usage_history usage;

    job_entry* entry(std::string_view id);
    host_slot* slot(std::string_view name);
    team_entry& team_for(std::string_view name);

    /// @brief Rebuilds the fit trees after hosts were added, removed or
    /// relocated.
    void rebuild_topology();

    /// @brief Updates the fit trees and the space log with one host.
    void update_slot(int index);

    /// @brief Updates the queue entry of a job after its pending tasks changed.
    void requeue(job_entry& it);

    /// @brief Holds resources on a host for a task; replaces an earlier claim.
    void make_claim(const task_id& id, int slot);
    void release_claim(const task_id& id);

    void make_reservation(job_reservation value);
    void release_reservation();

    /// @brief Releases the claims and the reservation of a job.
    void release_job_holds(const job_entry& it);

    /// @brief Returns whether a task, or any task of its gang, started in this
    /// round. Such a task is not removed in the same round.
    bool started_now(const host_task& it) const;

    /// @brief Releases the claims on a host, and the reservation if it includes
    /// the host.
    void release_host_holds(int slot);

    /// @brief Marks a running task as told to stop.
    void mark_stopping(const task_id& id);

    /// @brief Queues a host that accepts work again for its admission.
    void record_return(int slot);

    /// @brief Adds (+1) or removes (-1) a running task of a job on a host.
    void count_task(job_entry& it, int index, int sign);
};

} // namespace mustardwick::policy
