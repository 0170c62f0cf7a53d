#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "mustardwick/coordination/group_commit.hpp"
#include "mustardwick/coordination/records.hpp"
#include "mustardwick/ports/table.hpp"

namespace mustardwick::coordination
{

/// @brief A claim row as read from the table.
struct stored_claim
{
    claim_record record;
    std::uint64_t version = 0;
};

enum class claim_result
{
    /// This attempt holds the claim; its request may be sent once.
    claimed,
    /// Another attempt holds the claim or has already ended.
    taken,
    /// The table did not answer, so the claim may exist. The request must not
    /// be sent.
    unknown
};

/// @brief Table of claims on non-idempotent requests, so that each request is
/// sent at most once.
class claim_log
{
public:
    claim_log(ports::table table, group_commit& writes);

    /// @brief Commits a claim and waits for the result.
    ///
    /// Replaces an earlier claim in state not_run. Also succeeds when the row
    /// already holds a claim by the same attempt. When the result is claimed,
    /// version receives the version of the claim's row.
    claim_result claim(const std::string& key, const claim_record& record,
                       std::uint64_t& version);

    /// @brief Queues the outcome of a claimed request without waiting for the
    /// commit.
    void record(const std::string& key, const claim_record& record,
                std::uint64_t version);

    /// @brief Writes the outcome of a claimed request and waits for the commit;
    /// returns whether it was committed.
    ///
    /// Used for a claim that did not run, so that the next attempt can replace
    /// it.
    bool record_and_wait(const std::string& key, const claim_record& record,
                         std::uint64_t version);

    /// @brief Reads a claim; empty with error kind not_found when there is
    /// none, and with another kind when the table did not answer or the row is
    /// invalid.
    std::optional<stored_claim> read(const std::string& key) const;

private:
    claim_result write(const std::string& key, const claim_record& record,
                       std::uint64_t expected, std::uint64_t& version);

    ports::table table_;
    group_commit& writes_;
};

} // namespace mustardwick::coordination
