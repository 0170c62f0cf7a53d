#include "mustardwick/coordination/config_store.hpp"

#include <cstdio>
#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/identity.hpp"
#include "mustardwick/base/json.hpp"

namespace mustardwick::coordination
{

namespace json = web::json;
using base::error_kind;
using ports::commit_state;

namespace
{

constexpr std::string_view head_key = "config/head";
constexpr std::string_view log_prefix = "config/log/";
/// Entries kept in the change log: one day at 3,700 changes a day.
constexpr std::uint64_t max_log_entries = 4096;
constexpr int max_change_attempts = 8;

std::string log_key(std::uint64_t version)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%020llu",
                  static_cast<unsigned long long>(version));
    return std::string(log_prefix) + buf;
}

std::string resource_prefix(resource_kind kind)
{
    return "config/" + std::string(plural_name_of(kind)) + '/';
}

std::string resource_key(resource_kind kind, std::string_view name)
{
    return resource_prefix(kind) + std::string(name);
}

std::uint64_t parse_head(const ports::row& head)
{
    return head.version == 0 ? 0 : std::stoull(head.value);
}

std::string encode_change(const configuration_change& change)
{
    auto out = json::value::object();
    out["version"] = json::value::number(change.version);
    out["kind"] = json::value::string(std::string(plural_name_of(change.kind)));
    out["name"] = json::value::string(change.name);
    out["deleted"] = json::value::boolean(change.deleted);
    out["desired"] = json::value::string(change.desired);
    return out.serialize();
}

std::optional<configuration_change> decode_change(std::string_view text)
{
    const auto value = base::parse_json(text, 8U << 20U);
    if (!value)
        return std::nullopt;
    std::vector<std::string> errors;
    base::object_reader reader(*value, "change", errors);
    configuration_change out;
    out.version =
        static_cast<std::uint64_t>(reader.number("version", 0, 0, INT64_MAX));
    const auto kind = parse_resource_kind(reader.text("kind", ""));
    if (!kind)
        return std::nullopt;
    out.kind = *kind;
    out.name = reader.text("name", "");
    out.deleted = reader.flag("deleted", false);
    out.desired = reader.text("desired", "");
    return out;
}

std::optional<stored_resource> decode_resource(resource_kind kind,
                                               const ports::row& row)
{
    const auto change = decode_change(row.value);
    if (!change)
        return std::nullopt;
    return stored_resource{kind, change->name, change->version,
                           change->desired};
}

} // namespace

config_store::config_store(ports::table table, const base::clock& time,
                           std::chrono::milliseconds freshness,
                           change_freeze& freeze)
    : table_(std::move(table)), clock_(time), freshness_(freshness),
      freeze_(freeze), current_(std::make_shared<configuration>())
{
}

std::shared_ptr<const configuration> config_store::current() const
{
    const std::scoped_lock lock(mutex_);
    return current_;
}

std::chrono::milliseconds config_store::age() const
{
    const std::scoped_lock lock(mutex_);
    if (!ever_confirmed_)
        return std::chrono::milliseconds::max();
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() -
                                                                 confirmed_at_);
}

bool config_store::is_fresh() const
{
    return age() <= freshness_;
}

void config_store::confirm(std::uint64_t version, base::steady_time as_of)
{
    const std::scoped_lock lock(mutex_);
    if (version != current_->version)
        return;
    if (!ever_confirmed_ || as_of > confirmed_at_)
        confirmed_at_ = as_of;
    ever_confirmed_ = true;
}

bool config_store::refresh()
{
    const std::scoped_lock refresh_lock(refresh_mutex_);
    const auto sent = clock_.now();
    const auto head = table_.read(head_key);
    if (!head)
        return false;
    const auto version = parse_head(*head);
    if (version > current()->version && !apply_log(version))
        return false;
    confirm(version, sent);
    return true;
}

void config_store::publish(std::shared_ptr<const configuration> value)
{
    const std::scoped_lock lock(mutex_);
    if (value->version >= current_->version)
        current_ = std::move(value);
}

bool config_store::apply_log(std::uint64_t version)
{
    const auto base_copy = current();
    const auto changes = read_log(base_copy->version);
    if (!changes)
        return false;
    const bool has_gap =
        changes->empty() || changes->front().version != base_copy->version + 1;
    if (has_gap)
        return reload(version);
    auto next = std::make_shared<configuration>(*base_copy);
    for (const auto& it : *changes)
    {
        if (it.version <= version)
            apply_change(*next, it);
    }
    publish(std::move(next));
    return true;
}

bool config_store::reload(std::uint64_t version)
{
    auto next = std::make_shared<configuration>();
    for (const auto kind :
         {resource_kind::queue, resource_kind::team, resource_kind::key,
          resource_kind::host, resource_kind::failure_domain})
    {
        const auto rows = table_.scan_all(resource_prefix(kind));
        if (!rows)
            return false;
        for (const auto& it : *rows)
        {
            const auto change = decode_change(it.value);
            if (change)
                apply_change(*next, *change);
        }
    }
    // Label the copy with the version read before the scan. The next refresh
    // reapplies from the log any rows that changed during the scan.
    next->version = version;
    publish(std::move(next));
    return true;
}

std::optional<std::vector<configuration_change>>
config_store::read_log(std::uint64_t after) const
{
    std::vector<configuration_change> out;
    std::string position = log_key(after);
    do
    {
        auto page = table_.scan(log_prefix, position);
        if (!page)
            return std::nullopt;
        for (const auto& it : page->rows)
        {
            auto change = decode_change(it.value);
            if (change)
                out.push_back(std::move(*change));
        }
        position = page->next;
    } while (!position.empty());
    return out;
}

std::optional<std::vector<configuration_change>>
config_store::changes_after(std::uint64_t version) const
{
    const auto latest = current()->version;
    if (version >= latest)
        return std::vector<configuration_change>{};
    auto changes = read_log(version);
    if (!changes)
        return std::nullopt;
    if (changes->empty() || changes->front().version != version + 1)
        return base::fail(error_kind::stale,
                          "version " + std::to_string(version) +
                              " is no longer in the change log",
                          "list the resources again and watch from the "
                          "version of that list");
    return changes;
}

std::optional<stored_resource> config_store::read(resource_kind kind,
                                                  std::string_view name) const
{
    const auto row = table_.read(resource_key(kind, name));
    if (!row)
        return std::nullopt;
    if (row->version == 0)
        return base::fail(error_kind::not_found,
                          "no resource " + std::string(plural_name_of(kind)) +
                              '/' + std::string(name),
                          "list the resources of this kind");
    return decode_resource(kind, *row);
}

std::optional<std::vector<stored_resource>>
config_store::list(resource_kind kind) const
{
    const auto rows = table_.scan_all(resource_prefix(kind));
    if (!rows)
        return std::nullopt;
    std::vector<stored_resource> out;
    for (const auto& it : *rows)
    {
        auto resource = decode_resource(kind, it);
        if (resource)
            out.push_back(std::move(*resource));
    }
    return out;
}

ports::transaction config_store::build_change(const change_request& request,
                                              const ports::row& head,
                                              std::uint64_t version) const
{
    const configuration_change entry{version, request.kind, request.name,
                                     request.remove, request.desired};
    const auto text = encode_change(entry);
    ports::transaction out;
    out.id = base::unique_id();
    out.checks.push_back({std::string(head_key), head.version});
    out.puts.push_back({std::string(head_key), std::to_string(version)});
    out.puts.push_back({log_key(version), text});
    const auto key = resource_key(request.kind, request.name);
    if (request.remove)
        out.deletes.push_back(key);
    else
        out.puts.push_back({key, text});
    if (version > max_log_entries)
        out.deletes.push_back(log_key(version - max_log_entries));
    return out;
}

void config_store::guard_changes(
    std::function<std::optional<ports::check>()> own_row)
{
    own_row_ = std::move(own_row);
}

std::optional<change_result> config_store::change(const change_request& request)
{
    if (!freeze_.begin_change())
        return std::nullopt;
    bool outcome_known = true;
    std::optional<change_result> out;
    const auto key = resource_key(request.kind, request.name);
    for (int n = 0; n < max_change_attempts && !out; ++n)
    {
        const auto head = table_.read(head_key);
        const auto row = table_.read(key);
        if (!head || !row)
            break;
        const auto stored = decode_resource(request.kind, *row);
        const std::uint64_t found =
            row->version == 0 || !stored ? 0 : stored->version;
        const std::uint64_t wanted =
            request.expected == change_precondition::absent ? 0
                                                            : request.version;
        if (found != wanted)
        {
            out = change_result{0, true, found};
            break;
        }
        const auto version = parse_head(*head) + 1;
        auto change = build_change(request, *head, version);
        if (own_row_)
        {
            const auto guard = own_row_();
            if (!guard)
                break;
            change.checks.push_back(*guard);
        }
        const auto result =
            ports::commit_resolved(table_, change, log_key(version));
        if (result.state == commit_state::committed)
            out = change_result{version, false, version};
        outcome_known = result.state != commit_state::unknown;
        if (!outcome_known)
            break;
    }
    freeze_.end_change(outcome_known);
    if (out && !out->conflict)
        refresh();
    if (out)
        return out;
    return base::fail(error_kind::unavailable,
                      outcome_known
                          ? "the table service did not take the change"
                          : "the change may or may not have been accepted",
                      "read the resource, then retry with its version");
}

} // namespace mustardwick::coordination
