#include "mustardwick/caller/job_service.hpp"

#include <array>
#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"
#include "mustardwick/caller/authenticator.hpp"
#include "mustardwick/coordination/resources.hpp"

namespace mustardwick::caller
{

using base::error_kind;
using coordination::job_record;
using ports::commit_state;

namespace
{

constexpr std::int64_t max_tasks = 10'000;
constexpr std::int64_t max_amount = 1'000'000'000;
constexpr std::size_t max_payload_bytes = 64U << 10U;

template <typename Enum, std::size_t Size>
Enum read_choice(base::object_reader& reader, const char* name,
                 const std::array<std::string_view, Size>& names, Enum fallback)
{
    const auto text = reader.text(
        name, std::string(names.at(static_cast<std::size_t>(fallback))));
    for (std::size_t n = 0; n < Size; ++n)
    {
        if (names[n] == text)
            return static_cast<Enum>(n);
    }
    std::string remedy = "give one of:";
    for (const auto it : names)
        remedy += ' ' + std::string(it);
    reader.report(name, text, remedy);
    return fallback;
}

void read_specification(base::object_reader& reader, policy::job& out)
{
    constexpr std::array<std::string_view, 3> kinds = {"service", "batch",
                                                       "gang"};
    constexpr std::array<std::string_view, 3> priorities = {"best_effort",
                                                            "normal", "urgent"};
    out.id = reader.required_text("id");
    if (!out.id.empty() && !coordination::is_valid_name(out.id))
        reader.report("id", out.id,
                      "give 1 to 64 letters, digits, '.', '_' or '-'");
    out.queue = reader.required_text("queue");
    out.kind = read_choice(reader, "kind", kinds, policy::work_kind::batch);
    out.priority = read_choice(reader, "priority", priorities,
                               policy::priority_class::normal);
    out.tasks = static_cast<int>(reader.number("tasks", 1, 1, max_tasks));
    out.size.millicpus = reader.number("millicpus", 0, 0, max_amount);
    out.size.memory_mb = reader.number("memory_mb", 0, 0, max_amount);
    out.size.accelerators = reader.number("accelerators", 0, 0, max_amount);
    out.run_time =
        policy::milliseconds{reader.number("run_ms", 0, 0, max_amount)};
}

std::nullopt_t not_found(const std::string& id)
{
    return base::fail(error_kind::not_found, "no job " + id,
                      "list the jobs of your team");
}

} // namespace

std::optional<job_record> parse_submission(std::string_view body,
                                           std::vector<std::string>& errors)
{
    const auto value = base::parse_json(body);
    if (!value)
    {
        errors.push_back(base::last_error().text());
        return std::nullopt;
    }
    base::object_reader reader(*value, "", errors);
    job_record out;
    read_specification(reader, out.specification);
    out.payload = reader.text("payload", "");
    if (out.payload.size() > max_payload_bytes)
        reader.report("payload",
                      "a text of " + std::to_string(out.payload.size()) +
                          " bytes",
                      "give at most 65536 bytes");
    reader.finish();
    if (!errors.empty())
        return std::nullopt;
    return out;
}

job_service::job_service(ports::table table, coordination::group_commit& writes,
                         notify_inbox_function notify_inbox)
    : table_(std::move(table)), writes_(writes),
      notify_inbox_(std::move(notify_inbox))
{
}

std::optional<submit_result> job_service::submit(const job_record& job)
{
    const auto& id = job.specification.id;
    const auto key = coordination::job_key(id);
    const auto inbox = coordination::inbox_key(id, "submit");
    const auto result = writes_.commit(
        {{{key, 0}, {inbox, 0}}, {{key, to_row(job)}, {inbox, "{}"}}});
    if (result.state == commit_state::committed)
    {
        notify_inbox_();
        return submit_result{job, true};
    }
    if (result.state == commit_state::unknown)
        return base::fail(error_kind::timeout,
                          "job " + id + " may or may not have been accepted",
                          "submit it again with the same id");
    const auto stored = read_job(id, job.specification.team);
    if (stored)
        return submit_result{*stored, false};
    if (base::last_error().kind != error_kind::not_found)
        return std::nullopt;
    return base::fail(error_kind::conflict,
                      "another team has a job with the id " + id,
                      "choose another id");
}

std::optional<job_record> job_service::read_job(const std::string& id,
                                                const std::string& team) const
{
    const auto row = table_.read(coordination::job_key(id));
    if (!row)
        return std::nullopt;
    auto job = coordination::parse_job(row->value);
    const bool visible =
        row->version != 0 && job &&
        (job->specification.team == team || team == operator_team);
    if (!visible)
        return not_found(id);
    return job;
}

std::optional<job_status> job_service::status(const std::string& id,
                                              const std::string& team) const
{
    auto job = read_job(id, team);
    if (!job)
        return std::nullopt;
    const auto rows = table_.scan_all(coordination::task_prefix(id));
    if (!rows)
        return std::nullopt;
    job_status out{*job, {}};
    for (const auto& it : *rows)
    {
        const auto task = coordination::parse_task(it.value);
        if (task)
            out.tasks.push_back(*task);
    }
    return out;
}

std::optional<std::vector<job_record>>
job_service::list(const std::string& team) const
{
    const auto rows = table_.scan_all(coordination::job_prefix);
    if (!rows)
        return std::nullopt;
    std::vector<job_record> out;
    for (const auto& it : *rows)
    {
        auto job = coordination::parse_job(it.value);
        const bool visible =
            job && (job->specification.team == team || team == operator_team);
        if (visible)
            out.push_back(std::move(*job));
    }
    return out;
}

std::optional<job_status> job_service::cancel(const std::string& id,
                                              const std::string& team)
{
    auto found = status(id, team);
    if (!found || is_final(found->job.state))
        return found;
    const auto inbox = coordination::inbox_key(id, "cancel");
    const auto result = writes_.commit({{{inbox, 0}}, {{inbox, "{}"}}});
    if (result.state == commit_state::unknown)
        return base::fail(error_kind::timeout,
                          "the cancellation may or may not have been accepted",
                          "cancel the job again");
    notify_inbox_();
    return found;
}

} // namespace mustardwick::caller
