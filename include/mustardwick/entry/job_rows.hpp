#pragma once

#include <map>
#include <optional>
#include <string>

#include "mustardwick/dispatch/progress_blocks.hpp"
#include "mustardwick/dispatch/row_change.hpp"
#include "mustardwick/durable/rows.hpp"
#include "mustardwick/jobs/job.hpp"
#include "mustardwick/jobs/record.hpp"

namespace mustardwick::entry
{

/// @brief Adds the write or the removal of a row to a transaction.
void add_change(durable::transaction& out, dispatch::row_change change);

/// @brief A job as read from its rows.
struct stored_job
{
    std::optional<jobs::job> specification;
    std::optional<jobs::job_record> record;
    /// How the store holds the progress.
    bool split = false;
    /// Values by name. Empty for a block that is not part of the progress.
    std::map<std::string, std::string, std::less<>> blocks;
    /// A row of the job cannot be decoded.
    bool unreadable = false;
    /// Version of the newest of its rows.
    std::int64_t version = 0;

    /// @brief Returns whether only blocks were stored, by a leader that ended
    /// before it stored the job.
    bool is_orphan() const
    {
        return !specification && !record && !unreadable;
    }
};

/// @brief Assembles jobs from their rows, which may be added in any order.
class stored_jobs
{
public:
    /// @brief Adds a row of the job or progress table; returns false when it
    /// cannot be decoded.
    bool add(const durable::row& row);
    /// @brief Returns all jobs by id and clears the collection. An ended job
    /// whose specification was removed gets an empty one that holds only its
    /// id. A job with an undecodable row has no record.
    std::map<std::string, stored_job> take();

private:
    struct parts
    {
        std::optional<jobs::job> specification;
        /// State at acceptance; superseded by a later state.
        std::optional<dispatch::progress_head> accepted;
        std::optional<dispatch::progress_head> latest;
        std::map<std::string, std::string, std::less<>> blocks;
        /// A row could not be decoded, so the newest state is unknown.
        bool unreadable = false;
        std::int64_t version = 0;
    };

    static stored_job assemble(const std::string& id, parts from);

    std::map<std::string, parts> jobs_;
};

} // namespace mustardwick::entry
