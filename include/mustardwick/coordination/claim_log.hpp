#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "mustardwick/coordination/group_commit.hpp"
#include "mustardwick/coordination/records.hpp"
#include "mustardwick/ports/table.hpp"

namespace mustardwick::coordination
{

/// @brief A claim as the table has it.
struct stored_claim
{
    claim_record record;
    std::uint64_t version = 0;
};

enum class claim_result
{
    /// The claim is this attempt's; it may be sent once.
    claimed,
    /// Another attempt has the claim, or has ended.
    taken,
    /// The table did not answer; the claim may exist. Nothing may be sent.
    unknown
};

/// @brief Claims non-idempotent requests, so that each is sent at most once.
class claim_log
{
public:
    claim_log(ports::table table, group_commit& writes);

    /// @brief Commits a claim; version receives that of its row.
    ///
    /// A former claim that has certainly not run is replaced.
    claim_result claim(const std::string& key, const claim_record& record,
                       std::uint64_t& version);

    /// @brief Records how a claimed request ended, without waiting.
    void record(const std::string& key, const claim_record& record,
                std::uint64_t version);

    /// @brief Records how a claimed request ended and waits for the commit.
    ///
    /// Used for a claim that did not run, so that the next attempt finds it
    /// free.
    bool record_and_wait(const std::string& key, const claim_record& record,
                         std::uint64_t version);

    std::optional<stored_claim> read(const std::string& key) const;

private:
    claim_result write(const std::string& key, const claim_record& record,
                       std::uint64_t expected, std::uint64_t& version);

    ports::table table_;
    group_commit& writes_;
};

} // namespace mustardwick::coordination
