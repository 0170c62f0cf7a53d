#include "mustardwick/dispatch/progress_blocks.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <vector>

#include "mustardwick/base/error.hpp"
#include "mustardwick/wire/codec.hpp"

namespace mustardwick::dispatch
{

namespace
{

/// Encoded size of a task without its texts, and of the lists around tasks.
constexpr std::size_t bytes_per_task = 33;
constexpr std::size_t bytes_per_list = 16;
constexpr std::size_t bytes_per_record = 64;

/// Head of a record whose tasks are in blocks.
///
/// Its first fields read as a jobs::job_record whose list of occurrences is
/// longer than any row, so that a release without blocks refuses the row.
struct split_head
{
    static constexpr std::uint8_t split_marker =
        std::numeric_limits<std::uint8_t>::max();

    std::uint8_t marker = split_marker;
    std::int64_t reserved = -1;
    std::uint64_t impossible_length = std::numeric_limits<std::uint64_t>::max();
    jobs::job_state state = jobs::job_state::queued;
    std::int64_t occurrences_opened = 0;
    std::vector<std::int64_t> open;
    std::int64_t ended_ms = 0;

    template <typename Archive>
    void serialize(Archive& ar)
    {
        ar(marker, reserved, impossible_length, state, occurrences_opened, open,
           ended_ms);
    }
};

struct block_name
{
    std::int64_t occurrence = 0;
    std::size_t step = 0;
    std::size_t number = 0;
};

/// Returns the encoded size of the failed runs and what marks them.
std::size_t failed_runs_bytes(const jobs::task_record& task)
{
    const auto n = task.failed_runs.size();
    return n == 0 ? 0 : bytes_per_list + n * sizeof task.failed_runs[0];
}

std::string to_string(const block_name& name)
{
    return std::to_string(name.occurrence) + "." + std::to_string(name.step) +
           "." + std::to_string(name.number);
}

std::optional<block_name> parse_block_name(std::string_view text)
{
    block_name out;
    const auto read = [&text](auto& value, bool last)
    {
        const auto* end = text.data() + text.size();
        const auto [at, ec] = std::from_chars(text.data(), end, value);
        if (ec != std::errc() || (last ? at != end : at == end || *at != '.'))
            return false;
        text.remove_prefix(std::size_t(at - text.data()) + (last ? 0 : 1));
        return true;
    };
    if (!read(out.occurrence, false) || !read(out.step, false) ||
        !read(out.number, true))
        return std::nullopt;
    return out;
}

bool was_assigned(const jobs::task_record& task)
{
    return task.run != 0 || task.state != jobs::task_state::waiting ||
           task.failures != 0;
}

std::nullopt_t refuse(std::string_view what)
{
    return base::fail(base::error_kind::invalid_input,
                      "the progress of a job is malformed: " +
                          std::string(what),
                      "run the same release on all entry hosts");
}

/// Copies the tasks of a block to their places; returns false when they do not
/// match the record.
bool place_block(jobs::occurrence_record& open, const block_name& name,
                 std::vector<jobs::task_record> block)
{
    if (name.step >= open.tasks.size())
        return false;
    auto& tasks = open.tasks[name.step];
    const auto first = name.number * tasks_per_block;
    if (name.number > tasks.size() / tasks_per_block || first >= tasks.size() ||
        block.size() != std::min(tasks_per_block, tasks.size() - first))
        return false;
    std::move(block.begin(), block.end(),
              tasks.begin() + static_cast<std::ptrdiff_t>(first));
    return true;
}

} // namespace

bool fits_in_one_row(const jobs::job_record& record, std::size_t max_bytes)
{
    std::size_t n = bytes_per_record;
    for (const auto& open : record.open)
    {
        n += bytes_per_list;
        for (const auto& tasks : open.tasks)
        {
            n += bytes_per_list + tasks.size() * bytes_per_task;
            if (n > max_bytes)
                return false;
            for (const auto& it : tasks)
                n += it.worker.size() + it.checkpoint.size() +
                     failed_runs_bytes(it);
        }
    }
    return n <= max_bytes;
}

progress_rows encode_progress(const jobs::job_record& record, bool split)
{
    progress_rows out;
    if (!split)
    {
        out.head = wire::encode(record);
        return out;
    }
    split_head head;
    head.state = record.state;
    head.occurrences_opened = record.occurrences_opened;
    head.ended_ms = record.ended_ms;
    for (const auto& open : record.open)
    {
        head.open.push_back(open.number);
        for (std::size_t step = 0; step < open.tasks.size(); ++step)
        {
            const auto& tasks = open.tasks[step];
            for (std::size_t at = 0; at < tasks.size(); at += tasks_per_block)
            {
                const auto end = std::min(tasks.size(), at + tasks_per_block);
                const std::vector<jobs::task_record> block(
                    tasks.begin() + static_cast<std::ptrdiff_t>(at),
                    tasks.begin() + static_cast<std::ptrdiff_t>(end));
                if (std::any_of(block.begin(), block.end(), was_assigned))
                    out.blocks.emplace(
                        to_string({open.number, step, at / tasks_per_block}),
                        wire::encode(block));
            }
        }
    }
    out.head = wire::encode(head);
    return out;
}

std::optional<progress_head> decode_progress_head(std::string_view bytes)
{
    progress_head out;
    if (auto whole = wire::decode<jobs::job_record>(bytes))
    {
        out.record = std::move(*whole);
        return out;
    }
    const auto parts = wire::decode<split_head>(bytes);
    if (!parts || parts->marker != split_head::split_marker)
        return refuse("head");
    out.split = true;
    out.record.state = parts->state;
    out.record.occurrences_opened = parts->occurrences_opened;
    out.record.ended_ms = parts->ended_ms;
    for (const auto number : parts->open)
        out.record.open.push_back({number, {}});
    return out;
}

bool restore_blocks(
    jobs::job_record& record, const jobs::job& specification,
    const std::map<std::string, std::string, std::less<>>& blocks)
{
    std::map<std::int64_t, jobs::occurrence_record*> open;
    for (auto& occurrence : record.open)
    {
        open[occurrence.number] = &occurrence;
        for (const auto& it : specification.steps)
            occurrence.tasks.emplace_back(std::size_t(std::max(0, it.tasks)));
    }
    for (const auto& [text, value] : blocks)
    {
        const auto name = parse_block_name(text);
        if (!name)
        {
            refuse("name of block " + text);
            return false;
        }
        const auto at = open.find(name->occurrence);
        if (at == open.end())
            continue;
        auto tasks = wire::decode<std::vector<jobs::task_record>>(value);
        if (!tasks || !place_block(*at->second, *name, std::move(*tasks)))
        {
            refuse("block " + text);
            return false;
        }
    }
    return true;
}

} // namespace mustardwick::dispatch
