#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mustardwick/dispatch/orders.hpp"
#include "mustardwick/jobs/job.hpp"
#include "mustardwick/policy/leader_suitability.hpp"
#include "mustardwick/wire/endpoint.hpp"

namespace mustardwick::entry
{

/// @brief The row that names the leader. Every transaction of the leader checks
/// and rewrites it.
struct head_record
{
    /// Number of the leadership term, and the highest fencing token of the
    /// leader's orders; see jobs::fencing_tokens.
    std::int64_t epoch = 0;
    std::string leader;
    std::string address;
    std::uint16_t port = 0;
    /// Id of the transaction that wrote this value; shows whether a transaction
    /// whose answer was lost took effect.
    std::string transaction;
    /// The leader has released leadership.
    bool released = false;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(epoch, leader, address, port, transaction, released);
    }
};

/// @brief The row of a daemon.
struct member_record
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    policy::host_resources resources;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(name, address, port, resources);
    }
};

/// @brief Heartbeat from the leader to a member, sent several times a second.
struct leader_heartbeat
{
    std::int64_t epoch = 0;
    std::string leader;
    std::string address;
    std::uint16_t port = 0;
    /// Newest configuration version that the leader knows. A member with an
    /// older one fetches it from the leader, so that it receives the
    /// configuration even without access to the store.
    std::int64_t configuration = 0;
    /// The store fails for the leader. A member with access to the store is
    /// needed as successor, so each member probes the store at once.
    bool store_failing = false;
    /// Turn in which the receiver may replace the leader; see
    /// policy::succession_tier.
    int succession_tier = 0;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(epoch, leader, address, port, configuration, store_failing,
           succession_tier);
    }
};

/// @brief Asks the leader for the next block of its configuration.
struct configuration_request
{
    /// Version of the blocks that the sender has; 0 for none.
    std::int64_t version = 0;
    /// Bytes that the sender has of it.
    std::uint64_t offset = 0;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(version, offset);
    }
};

/// @brief A part of the operator's configuration in its original text. It
/// begins at offset 0 when the leader has another version than the one asked
/// for.
struct configuration_block
{
    std::int64_t version = 0;
    std::uint64_t total_bytes = 0;
    std::uint64_t offset = 0;
    std::string bytes;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(version, total_bytes, offset, bytes);
    }
};

struct heartbeat_reply
{
    /// Highest epoch that the member knows of.
    std::int64_t epoch = 0;
    /// Milliseconds since the store last answered the member; -1 for never.
    /// While the store fails for the leader, answers of partitions other than
    /// that of the head row are ignored.
    std::int64_t store_age_ms = -1;
    /// The member is shutting down and must not become leader.
    bool leaving = false;
    /// The member's processor speed relative to the best that it has shown.
    double speed = 1.0;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(epoch, store_age_ms, leaving, speed);
    }
};

/// @brief Asks a member to become leader after the sender has stopped.
struct hand_over
{
    std::int64_t epoch = 0;
    /// Version of the head row that the sender wrote last; 0 when unknown.
    std::int64_t head_version = 0;
    /// Hand-overs in a row to a more suitable member, including this one.
    int recent_hand_overs = 0;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(epoch, head_version, recent_hand_overs);
    }
};

enum class reply_status : std::uint8_t
{
    done,
    /// The job is unknown.
    unknown_job,
    /// The daemon is not the leader, or has not loaded the state yet. With a
    /// time to retry after, it leads, but the store does not confirm that the
    /// job is unknown; gateways of earlier releases ask again at once.
    not_leader,
    /// The store is unavailable to the leader; the job was not accepted and
    /// never runs.
    store_unavailable,
    /// The job is beyond its account's share and could not start in time; it
    /// was not accepted and never runs.
    over_share,
    /// The job was cancelled before it was submitted; it was not accepted and
    /// never runs.
    withdrawn
};

/// @brief A job on its way from the gateway that received it to the leader.
struct submission
{
    jobs::job job;
    std::string gateway{};
    /// Time that the request spent in the gateway's socket before it was read.
    std::int64_t unread_ms = 0;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(job, gateway, unread_ms);
    }
};

/// @brief A query or a cancellation of a job.
struct job_query
{
    std::string id;
    /// Client account of the caller.
    std::string account{};

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(id, account);
    }
};

struct queue_query
{
    std::string queue;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(queue);
    }
};

/// @brief Reply to submissions, queries, cancellations and counts.
struct job_reply
{
    reply_status status = reply_status::not_leader;
    jobs::job_state state = jobs::job_state::queued;
    std::uint64_t waiting = 0;
    /// Milliseconds after which a rejected caller should retry.
    std::int64_t retry_after_ms = 0;

    /// @brief Returns whether another leader may answer the call at once.
    bool should_ask_again() const
    {
        return status == reply_status::not_leader && retry_after_ms == 0;
    }

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(status, state, waiting, retry_after_ms);
    }
};

struct advice_request
{
    std::string job;
    std::int64_t occurrence = 0;
    int step = 0;
    std::vector<std::string> workers;
    std::int64_t timeout_ms = 0;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(job, occurrence, step, workers, timeout_ms);
    }
};

struct advice_reply
{
    bool answered = false;
    std::vector<dispatch::advice_ticket> allowed;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(answered, allowed);
    }
};

} // namespace mustardwick::entry
