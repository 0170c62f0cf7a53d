#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <cereal/types/string.hpp>

namespace mustardwick::dispatch
{

/// @brief What a row of the planner holds.
enum class row_kind : std::uint8_t
{
    /// A job as it was accepted: an encoded job_row. Removed when the job ends.
    job,
    /// The latest progress of a job, or a block of it: see progress_rows.
    progress,
    /// An encoded jobs::queue through which jobs were accepted, by the key that
    /// these hold.
    queue
};

/// @brief Value of a row_kind::job row.
struct job_row
{
    /// Encoded jobs::job.
    std::string specification;
    /// Head of the progress at acceptance; superseded by a row of
    /// row_kind::progress.
    std::string progress;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(specification, progress);
    }
};

/// @brief A row to write or to remove.
struct row_change
{
    row_kind kind = row_kind::job;
    std::string key;
    /// std::nullopt when the row is removed.
    std::optional<std::string> value;

    std::size_t bytes() const
    {
        return key.size() + (value ? value->size() : 0);
    }
};

/// @brief Separates the id of a job from the name of a block in a key.
inline constexpr char block_separator = '/';

} // namespace mustardwick::dispatch
