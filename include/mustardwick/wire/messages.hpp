#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwick::wire
{

/// @brief How a request ended, as far as is known.
enum class outcome : std::uint8_t
{
    done,
    /// Nothing has run and nothing will.
    refused,
    /// It may have run; ask again with the same id.
    unknown
};

/// @brief A request on its way from an entry daemon to a shard owner.
struct forward_request
{
    std::string attempt;
    std::string request;
    std::string team;
    std::string queue;
    std::string host;
    std::string body;
    std::uint32_t timeout_ms = 0;
    bool idempotent = false;
    std::int64_t sent_microseconds = 0;
    std::uint32_t sent_counter = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(attempt, request, team, queue, host, body, timeout_ms,
                idempotent, sent_microseconds, sent_counter);
    }
};

/// @brief The typed answer to a request.
struct forward_answer
{
    outcome result = outcome::unknown;
    std::uint16_t status = 0;
    std::string body;
    std::string reason;
    std::string remedy;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(result, status, body, reason, remedy);
    }
};

/// @brief One task to start on a worker.
struct start_order
{
    std::string attempt;
    std::string job;
    std::int32_t index = 0;
    std::string kind;
    std::int64_t millicpus = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    std::string payload;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(attempt, job, index, kind, millicpus, memory_mb, accelerators,
                payload);
    }
};

/// @brief Starts and stops for one worker, from the planner to the owner.
struct deliver
{
    std::string host;
    /// The lease that the planner knew when it decided. The owner refuses any
    /// other, so that orders delayed past the loss of a lease do nothing.
    std::string lease;
    std::vector<start_order> starts;
    std::vector<std::string> stops;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, lease, starts, stops);
    }
};

/// @brief The orders that the worker has confirmed.
struct deliver_answer
{
    std::vector<std::string> started;
    std::vector<std::string> stopped;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(started, stopped);
    }
};

/// @brief What became of an attempt on a worker.
enum class attempt_event : std::uint8_t
{
    running,
    finished,
    failed,
    stopped,
    /// The attempt is not on the worker and can never start there.
    lost
};

struct attempt_report
{
    std::string attempt;
    std::string host;
    attempt_event event = attempt_event::running;
    std::string detail;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(attempt, host, event, detail);
    }
};

/// @brief State of one worker as its shard owner knows it.
struct host_report
{
    std::string host;
    /// The open lease; empty when there is none.
    std::string lease;
    bool accepts_work = false;
    /// True when no attempt started before this report can still run there.
    bool emptied = false;
    /// True when the attempts of the same message are all that run there.
    bool complete = false;
    /// Name and incarnation of the reporting daemon.
    std::string holder;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, lease, accepts_work, emptied, complete, holder);
    }
};

/// @brief Reports from a shard owner to the planner.
struct task_events
{
    std::vector<attempt_report> attempts;
    std::vector<host_report> hosts;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(attempts, hosts);
    }
};

/// @brief An attempt whose end is recorded; its worker can forget it.
struct recorded_attempt
{
    std::string attempt;
    std::string host;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(attempt, host);
    }
};

/// @brief Attempts that the planner has committed as ended.
struct task_events_answer
{
    std::vector<recorded_attempt> recorded;
    /// Changes each time the planner has read its state from the table; it
    /// then knows no leases and needs all hosts reported again.
    std::string load;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(recorded, load);
    }
};

/// @brief Asks a daemon for part of its request allocation of a team.
struct escrow_request
{
    std::string team;
    std::string receiver;
    std::int64_t amount = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, receiver, amount);
    }
};

struct escrow_answer
{
    std::int64_t granted = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(granted);
    }
};

/// @brief Asks the shard owner what became of a request attempt.
struct attempt_query
{
    std::string host;
    std::string attempt;
    /// The lease under which the attempt was claimed.
    std::string lease;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, attempt, lease);
    }
};

/// @brief Asks a peer how fresh its configuration is.
struct freshness_query
{
    std::uint64_t version = 0;
    /// How long the answering peer must not commit a change, in milliseconds.
    std::uint32_t freeze_ms = 0;
    std::string daemon;
    std::uint64_t incarnation = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, freeze_ms, daemon, incarnation);
    }
};

struct freshness_answer
{
    std::uint64_t version = 0;
    /// Age of the peer's last confirmation by the table; negative when none.
    std::int64_t age_ms = -1;
    bool frozen = false;
    /// Age of the peer's last read of the asking daemon's row in which it was
    /// not fenced; negative when there is none.
    std::int64_t member_age_ms = -1;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, age_ms, frozen, member_age_ms);
    }
};

/// @brief A typed failure of a call.
struct failure
{
    std::uint8_t kind = 0;
    std::string message;
    std::string remedy;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, message, remedy);
    }
};

/// @brief A message without content.
struct empty
{
    template <class Archive>
    void serialize(Archive&)
    {
    }
};

} // namespace mustardwick::wire
