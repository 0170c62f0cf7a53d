#include "mustardwick/coordination/records.hpp"

#include <array>
#include <cstddef>
#include <cstdio>
#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"

namespace mustardwick::coordination
{

namespace json = web::json;
using base::object_reader;

namespace
{

constexpr std::int64_t max_number = INT64_MAX;
constexpr std::array<std::string_view, 6> job_states = {
    "queued", "running", "done", "failed", "canceled", "rejected"};
constexpr std::array<std::string_view, 5> task_states = {
    "placed", "running", "stopping", "finished", "failed"};
constexpr std::array<std::string_view, 3> claim_states = {"claimed", "done",
                                                          "not_run"};
constexpr std::array<std::string_view, 3> work_kinds = {"service", "batch",
                                                        "gang"};
constexpr std::array<std::string_view, 3> priorities = {"best_effort", "normal",
                                                        "urgent"};

json::value text(std::string_view value)
{
    return json::value::string(std::string(value));
}

json::value number(std::uint64_t value)
{
    return json::value::number(value);
}

/// Reads an enumerator by its name; the first one when the field is absent.
template <typename Enum, std::size_t Size>
Enum read_name(object_reader& reader, const char* name,
               const std::array<std::string_view, Size>& names)
{
    const auto found = reader.text(name, std::string(names[0]));
    for (std::size_t n = 0; n < Size; ++n)
    {
        if (names[n] == found)
            return static_cast<Enum>(n);
    }
    reader.report(name, found, "give a known name");
    return static_cast<Enum>(0);
}

std::uint64_t read_count(object_reader& reader, const char* name)
{
    return static_cast<std::uint64_t>(reader.number(name, 0, 0, max_number));
}

int read_int(object_reader& reader, const char* name)
{
    return static_cast<int>(reader.number(name, 0, 0, INT32_MAX));
}

wire::endpoint read_endpoint(object_reader& reader, const char* name)
{
    return wire::parse_endpoint(reader.text(name, ""))
        .value_or(wire::endpoint{});
}

/// Parses one JSON object; `read` reads its fields.
template <typename Record, typename Read>
std::optional<Record> parse_record(std::string_view source, Read&& read)
{
    const auto value = base::parse_json(source, 8U << 20U);
    if (!value)
        return std::nullopt;
    std::vector<std::string> errors;
    object_reader reader(*value, "row", errors);
    Record out;
    read(reader, out);
    if (errors.empty())
        return out;
    return base::fail(base::error_kind::internal,
                      "a row does not parse: " + errors.front(),
                      "check that only mustardwick writes its rows");
}

} // namespace

std::string_view name_of(job_state state)
{
    return job_states.at(static_cast<std::size_t>(state));
}

std::string_view name_of(task_state state)
{
    return task_states.at(static_cast<std::size_t>(state));
}

std::string_view name_of(claim_state state)
{
    return claim_states.at(static_cast<std::size_t>(state));
}

bool is_final(job_state state)
{
    return state != job_state::queued && state != job_state::running;
}

std::string member_key(std::string_view name)
{
    return std::string(member_prefix) + std::string(name);
}

std::string holder_key(std::string_view host)
{
    return std::string(holder_prefix) + std::string(host);
}

std::string job_key(std::string_view id)
{
    return std::string(job_prefix) + std::string(id);
}

std::string inbox_key(std::string_view job, std::string_view operation)
{
    return std::string(inbox_prefix) + std::string(operation) + '/' +
           std::string(job);
}

std::string task_prefix(std::string_view job)
{
    return std::string(all_tasks_prefix) + std::string(job) + '/';
}

std::string task_key(const policy::task_id& id)
{
    char buf[16];
    std::snprintf(buf, sizeof buf, "%06d", id.index);
    return task_prefix(id.job) + buf;
}

std::string claim_key(std::string_view team, std::string_view request)
{
    return "claim/" + std::string(team) + '/' + std::string(request);
}

std::string escrow_key(std::string_view team)
{
    return "escrow/" + std::string(team);
}

std::string to_row(const member_record& value)
{
    auto out = json::value::object();
    out["name"] = text(value.name);
    out["incarnation"] = number(value.incarnation);
    out["renewal"] = number(value.renewal);
    out["failure_domain"] = text(value.failure_domain);
    out["tcp"] = text(wire::to_string(value.tcp));
    out["udp"] = text(wire::to_string(value.udp));
    out["leaving"] = json::value::boolean(value.leaving);
    out["fenced"] = json::value::boolean(value.fenced);
    return out.serialize();
}

std::optional<member_record> parse_member(std::string_view source)
{
    return parse_record<member_record>(
        source,
        [](object_reader& reader, member_record& out)
        {
            out.name = reader.required_text("name");
            out.incarnation = read_count(reader, "incarnation");
            out.renewal = read_count(reader, "renewal");
            out.failure_domain = reader.text("failure_domain", "");
            out.tcp = read_endpoint(reader, "tcp");
            out.udp = read_endpoint(reader, "udp");
            out.leaving = reader.flag("leaving", false);
            out.fenced = reader.flag("fenced", false);
        });
}

std::string to_row(const leadership_record& value)
{
    auto out = json::value::object();
    out["owner"] = text(value.owner);
    out["incarnation"] = number(value.incarnation);
    out["epoch"] = number(value.epoch);
    return out.serialize();
}

std::optional<leadership_record> parse_leadership(std::string_view source)
{
    return parse_record<leadership_record>(
        source,
        [](object_reader& reader, leadership_record& out)
        {
            out.owner = reader.text("owner", "");
            out.incarnation = read_count(reader, "incarnation");
            out.epoch = read_count(reader, "epoch");
        });
}

std::string to_row(const holder_record& value)
{
    auto out = json::value::object();
    out["daemon"] = text(value.daemon);
    out["incarnation"] = number(value.incarnation);
    return out.serialize();
}

std::optional<holder_record> parse_holder(std::string_view source)
{
    return parse_record<holder_record>(
        source,
        [](object_reader& reader, holder_record& out)
        {
            out.daemon = reader.text("daemon", "");
            out.incarnation = read_count(reader, "incarnation");
        });
}

std::string to_row(const job_record& value)
{
    const auto& job = value.specification;
    auto out = json::value::object();
    out["id"] = text(job.id);
    out["team"] = text(job.team);
    out["queue"] = text(job.queue);
    out["kind"] = text(name_of(job.kind));
    out["priority"] = text(name_of(job.priority));
    out["tasks"] = job.tasks;
    out["millicpus"] = job.size.millicpus;
    out["memory_mb"] = job.size.memory_mb;
    out["accelerators"] = job.size.accelerators;
    out["run_ms"] = static_cast<std::int64_t>(job.run_time.count());
    out["payload"] = text(value.payload);
    out["state"] = text(name_of(value.state));
    out["reason"] = text(value.reason);
    out["finished"] = value.finished;
    return out.serialize();
}

std::optional<job_record> parse_job(std::string_view source)
{
    return parse_record<job_record>(
        source,
        [](object_reader& reader, job_record& out)
        {
            auto& job = out.specification;
            job.id = reader.required_text("id");
            job.team = reader.text("team", "");
            job.queue = reader.text("queue", "");
            job.kind = read_name<policy::work_kind>(reader, "kind", work_kinds);
            job.priority = read_name<policy::priority_class>(reader, "priority",
                                                             priorities);
            job.tasks = read_int(reader, "tasks");
            job.size.millicpus = reader.number("millicpus", 0, 0, max_number);
            job.size.memory_mb = reader.number("memory_mb", 0, 0, max_number);
            job.size.accelerators =
                reader.number("accelerators", 0, 0, max_number);
            job.run_time =
                policy::milliseconds{reader.number("run_ms", 0, 0, max_number)};
            out.payload = reader.text("payload", "");
            out.state = read_name<job_state>(reader, "state", job_states);
            out.reason = reader.text("reason", "");
            out.finished = read_int(reader, "finished");
        });
}

std::string to_row(const task_record& value)
{
    auto out = json::value::object();
    out["job"] = text(value.id.job);
    out["index"] = value.id.index;
    out["attempt"] = text(value.attempt);
    out["host"] = text(value.host);
    out["state"] = text(name_of(value.state));
    out["failures"] = value.failures;
    return out.serialize();
}

std::optional<task_record> parse_task(std::string_view source)
{
    return parse_record<task_record>(
        source,
        [](object_reader& reader, task_record& out)
        {
            out.id.job = reader.required_text("job");
            out.id.index = read_int(reader, "index");
            out.attempt = reader.text("attempt", "");
            out.host = reader.text("host", "");
            out.state = read_name<task_state>(reader, "state", task_states);
            out.failures = read_int(reader, "failures");
        });
}

std::string to_row(const claim_record& value)
{
    auto out = json::value::object();
    out["state"] = text(name_of(value.state));
    out["daemon"] = text(value.daemon);
    out["attempt"] = text(value.attempt);
    out["host"] = text(value.host);
    out["lease"] = text(value.lease);
    out["status"] = value.status;
    out["body"] = text(value.body);
    return out.serialize();
}

std::optional<claim_record> parse_claim(std::string_view source)
{
    return parse_record<claim_record>(
        source,
        [](object_reader& reader, claim_record& out)
        {
            out.state = read_name<claim_state>(reader, "state", claim_states);
            out.daemon = reader.text("daemon", "");
            out.attempt = reader.text("attempt", "");
            out.host = reader.text("host", "");
            out.lease = reader.text("lease", "");
            out.status = read_int(reader, "status");
            out.body = reader.text("body", "");
        });
}

std::string to_row(const escrow_record& value)
{
    auto out = json::value::object();
    out["limit"] = json::value::number(value.limit);
    auto parts = json::value::object();
    for (const auto& [name, amount] : value.parts)
        parts[name] = json::value::number(amount);
    out["parts"] = parts;
    return out.serialize();
}

std::optional<escrow_record> parse_escrow(std::string_view source)
{
    return parse_record<escrow_record>(
        source,
        [](object_reader& reader, escrow_record& out)
        {
            out.limit = reader.number("limit", 0, 0, max_number);
            const auto* parts = reader.raw("parts");
            if (parts == nullptr || !parts->is_object())
                return;
            for (const auto& [name, amount] : parts->as_object())
                out.parts[name] =
                    amount.is_integer() ? amount.as_number().to_int64() : 0;
        });
}

} // namespace mustardwick::coordination
