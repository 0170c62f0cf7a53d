#pragma once

#include <map>
#include <optional>
#include <string>

#include <cereal/types/string.hpp>

#include "mustardwick/dispatch/orders.hpp"
#include "mustardwick/durable/rows.hpp"
#include "mustardwick/jobs/job.hpp"
#include "mustardwick/jobs/record.hpp"

namespace mustardwick::entry
{

/// @brief Row of a job as it was accepted. Later states are written to a
/// separate row, so that an update does not rewrite the specification.
struct job_row
{
    /// Encoded jobs::job.
    std::string specification;
    /// Encoded jobs::job_record.
    std::string progress;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(specification, progress);
    }
};

/// @brief Adds the row writes and removals of a job's change to a transaction;
/// their number is row_change::rows().
void add_change(durable::transaction& out, dispatch::row_change change);

/// @brief A job as read from its rows.
struct stored_job
{
    std::optional<jobs::job> specification;
    std::optional<jobs::job_record> record;
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
        std::optional<jobs::job_record> accepted;
        std::optional<jobs::job_record> latest;
        /// A row could not be decoded, so the newest state is unknown.
        bool unreadable = false;
    };

    std::map<std::string, parts> jobs_;
};

} // namespace mustardwick::entry
