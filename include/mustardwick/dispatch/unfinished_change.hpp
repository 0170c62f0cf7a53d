#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "mustardwick/dispatch/job_run.hpp"
#include "mustardwick/dispatch/orders.hpp"
#include "mustardwick/dispatch/row_change.hpp"

namespace mustardwick::dispatch
{

/// @brief Effects of a job's change; they are released when all its rows are
/// durable.
struct job_effects
{
    std::string job;
    jobs::job_state state = jobs::job_state::queued;
    bool removed = false;
    bool specification_was_stored = false;
    /// Blocks that the change writes or removes.
    std::vector<std::string> blocks;
    std::vector<start_order> starts;
    std::vector<uncommitted_end> ends;
    std::vector<pending_reply> replies;
};

/// @brief A change of which some rows are not part of any transaction yet.
struct unfinished_change
{
    std::deque<row_change> rows;
    /// std::nullopt for rows that belong to no job.
    std::optional<job_effects> effects;
    /// Some of its rows are part of a transaction.
    bool started = false;
};

} // namespace mustardwick::dispatch
