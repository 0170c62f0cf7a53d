#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwick::wire
{

/// @brief Outcome of a request as far as the sender knows it.
enum class outcome : std::uint8_t
{
    done,
    /// The request has not run and will not run.
    refused,
    /// The request may have run; retry with the same id to learn the outcome.
    unknown
};

/// @brief A request that an entry daemon forwards to the shard owner of a host.
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
    /// Time line of the sender: microseconds since the epoch, then a counter.
    std::int64_t sent_microseconds = 0;
    std::uint32_t sent_counter = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(attempt, request, team, queue, host, body, timeout_ms,
                idempotent, sent_microseconds, sent_counter);
    }
};

/// @brief The answer to a forwarded request.
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

/// @brief Orders for one worker, from the planner to the shard owner of its
/// host.
struct deliver
{
    std::string host;
    /// The lease that the planner knew when it decided. The owner refuses
    /// orders for any other lease, so that orders delayed past the end of a
    /// lease have no effect.
    std::string lease;
    std::vector<start_order> starts;
    std::vector<std::string> stops;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, lease, starts, stops);
    }
};

/// @brief The attempts whose start or stop the worker has confirmed.
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

/// @brief State or outcome of an attempt on a worker.
enum class attempt_event : std::uint8_t
{
    running,
    finished,
    failed,
    stopped,
    /// The attempt is not on the worker and cannot start there any more.
    lost
};

/// @brief State of one attempt, reported by the worker of its host.
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

/// @brief State of one worker as known to its shard owner.
struct host_report
{
    std::string host;
    /// The open lease; empty when there is none.
    std::string lease;
    bool accepts_work = false;
    /// Whether no attempt started before this report can still run there.
    bool emptied = false;
    /// Whether the message lists all attempts that run there.
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

/// @brief An attempt whose end is committed; its worker can delete its record.
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

/// @brief Answer of the planner: the attempts whose end it has committed.
struct task_events_answer
{
    std::vector<recorded_attempt> recorded;
    /// Identifies the planner's last load of its state from the table. After a
    /// load the planner knows no leases, and all hosts must be reported
    /// again.
    std::string load;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(recorded, load);
    }
};

/// @brief Requests a transfer of part of a daemon's request allocation for a
/// team.
struct escrow_request
{
    std::string team;
    /// Name and incarnation of the daemon that receives the part.
    std::string receiver;
    std::int64_t amount = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, receiver, amount);
    }
};

/// @brief The part of the allocation that was transferred; 0 for none.
struct escrow_answer
{
    std::int64_t granted = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(granted);
    }
};

/// @brief Queries the shard owner for the outcome of a request attempt.
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

/// @brief Queries the age of a peer's configuration and requests a change
/// freeze.
struct freshness_query
{
    /// Version of the querying daemon's configuration.
    std::uint64_t version = 0;
    /// Duration of the change freeze, in milliseconds: the answering peer must
    /// not commit a change of shared state meanwhile.
    std::uint32_t freeze_ms = 0;
    /// Name and incarnation of the querying daemon.
    std::string daemon;
    std::uint64_t incarnation = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, freeze_ms, daemon, incarnation);
    }
};

/// @brief Age of a peer's data, and whether it has frozen changes.
struct freshness_answer
{
    std::uint64_t version = 0;
    /// Milliseconds since the table last confirmed the peer's configuration;
    /// negative when it never has.
    std::int64_t age_ms = -1;
    /// Whether the peer commits no change for the requested time.
    bool frozen = false;
    /// Milliseconds since the peer read the querying daemon's row, if that row
    /// was not fenced; negative otherwise.
    std::int64_t member_age_ms = -1;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, age_ms, frozen, member_age_ms);
    }
};

/// @brief An error that a peer answers to a call; kind is a base::error_kind.
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

/// @brief A message without fields.
struct empty
{
    template <class Archive>
    void serialize(Archive&)
    {
    }
};

} // namespace mustardwick::wire
