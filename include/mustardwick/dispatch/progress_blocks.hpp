#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "mustardwick/jobs/record.hpp"

namespace mustardwick::dispatch
{

/// @brief Number of tasks in one block. A block is smaller than a row of the
/// store even if the id and the checkpoint of each task have their maximum
/// length.
inline constexpr std::size_t tasks_per_block = 64;

/// @brief Rows that hold a job's progress.
///
/// While the progress fits in one row, that is an encoded jobs::job_record.
/// Otherwise it holds the state and the numbers of the open occurrences, and
/// the tasks are in blocks with a row each. A block whose tasks have never been
/// assigned has no row.
struct progress_rows
{
    std::string head;
    /// Encoded tasks by block name, "OCCURRENCE.STEP.NUMBER".
    std::map<std::string, std::string, std::less<>> blocks;
};

/// @brief Returns whether one row of at most `max_bytes` can hold a record.
bool fits_in_one_row(const jobs::job_record& record, std::size_t max_bytes);

/// @brief Encodes a record in one row, or in blocks if `split` is set.
progress_rows encode_progress(const jobs::job_record& record, bool split);

/// @brief The row that holds a job's progress, or the state of a split one.
struct progress_head
{
    /// The open occurrences of a split record have no tasks yet.
    jobs::job_record record;
    bool split = false;
};

/// @brief Decodes progress_rows::head; std::nullopt with last_error() of kind
/// invalid_input for malformed bytes.
std::optional<progress_head> decode_progress_head(std::string_view bytes);

/// @brief Fills in the tasks of a split record; tasks without a block have
/// never been assigned.
///
/// Blocks of occurrences that are not open are ignored: they were written by a
/// leader that ended before it wrote the head. Returns false with last_error()
/// of kind invalid_input when a block is malformed or does not match the
/// specification.
bool restore_blocks(
    jobs::job_record& record, const jobs::job& specification,
    const std::map<std::string, std::string, std::less<>>& blocks);

} // namespace mustardwick::dispatch
