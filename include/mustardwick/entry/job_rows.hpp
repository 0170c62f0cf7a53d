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

/// @brief Row of a job as it was accepted. Its later states are in a row of
/// their own, so that they can be rewritten without the specification.
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

/// @brief Adds the rows of a job's change to a transaction, as many as
/// row_change::rows() says.
void add_change(durable::transaction& out, dispatch::row_change change);

/// @brief A job as its rows describe it.
struct stored_job
{
    std::optional<jobs::job> specification;
    std::optional<jobs::job_record> record;
};

/// @brief Puts the rows of jobs together, in any order.
class stored_jobs
{
public:
    /// @brief Takes a row of one of the tables of jobs; false when it cannot be
    /// read.
    bool add(const durable::row& row);
    /// @brief All jobs by their id. An ended job has an empty specification
    /// with its id; a job with an unreadable row has no record.
    std::map<std::string, stored_job> take();

private:
    struct parts
    {
        std::optional<jobs::job> specification;
        /// State at acceptance, which a later one replaces.
        std::optional<jobs::job_record> accepted;
        std::optional<jobs::job_record> latest;
        /// A row cannot be read, so that the newest state is not known.
        bool unreadable = false;
    };

    std::map<std::string, parts> jobs_;
};

} // namespace mustardwick::entry
