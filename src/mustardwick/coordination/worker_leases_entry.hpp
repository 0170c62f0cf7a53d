#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "mustardwick/coordination/worker_leases.hpp"

namespace mustardwick::coordination
{

/// @brief One host that this daemon holds.
struct worker_leases::entry
{
    std::string host;
    std::uint64_t holder_version = 0;
    base::steady_time acquired_at;

    std::mutex mutex;
    ports::worker_address worker;
    std::string lease;
    bool busy = false;
    bool dropped = false;
    bool ever_opened = false;
    bool reported_unresponsive = false;
    bool reported_empty = false;
    /// Set while an unresponsive worker is only probed, so that no call extends
    /// its lease.
    bool renewals_suspended = false;
    base::steady_time next_call_at;
    /// Latest time at which a call that extends the lease may have been sent.
    base::steady_time last_sent;
    /// Start of the last such call that was answered.
    base::steady_time last_answered;
    std::vector<std::string> acknowledged;
};

} // namespace mustardwick::coordination
