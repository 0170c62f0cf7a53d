#include "mustardwick/coordination/member_registry.hpp"

#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/identity.hpp"
#include "mustardwick/base/log.hpp"

namespace mustardwick::coordination
{

using ports::commit_state;

member_registry::member_registry(ports::table table, const base::clock& time,
                                 member_record self,
                                 std::chrono::milliseconds authority)
    : table_(std::move(table)), clock_(time), authority_(authority),
      self_(std::move(self))
{
}

void member_registry::on_registration(
    std::function<void(std::uint64_t)> listener)
{
    listener_ = std::move(listener);
}

bool member_registry::register_self()
{
    const std::scoped_lock write_lock(write_mutex_);
    const auto sent = clock_.now();
    const auto row = table_.read(member_key(self_.name));
    if (!row)
        return false;
    const auto previous = parse_member(row->value);
    member_record next;
    {
        const std::scoped_lock lock(mutex_);
        next = self_;
    }
    next.incarnation = (previous ? previous->incarnation : 0) + 1;
    next.renewal = 0;
    next.fenced = false;
    const auto key = member_key(next.name);
    const ports::transaction change{
        base::unique_id(), {{key, row->version}}, {{key, to_row(next)}}, {}};
    const auto result = ports::commit_resolved(table_, change, key);
    if (result.state != commit_state::committed)
        return false;
    {
        const std::scoped_lock lock(mutex_);
        self_ = next;
        self_version_ = result.revision;
        registered_ = true;
        confirmed_at_ = sent;
    }
    base::log_event(base::log_level::info, "members", "registered",
                    {{"incarnation", next.incarnation}});
    if (listener_)
        listener_(next.incarnation);
    return true;
}

bool member_registry::write_self(bool leaving)
{
    const std::scoped_lock write_lock(write_mutex_);
    member_record next;
    std::uint64_t version = 0;
    {
        const std::scoped_lock lock(mutex_);
        if (!registered_)
            return false;
        self_.leaving = self_.leaving || leaving;
        next = self_;
        version = self_version_;
    }
    ++next.renewal;
    const auto sent = clock_.now();
    const auto key = member_key(next.name);
    const ports::transaction change{
        base::unique_id(), {{key, version}}, {{key, to_row(next)}}, {}};
    const auto result = ports::commit_resolved(table_, change, key, 2);
    if (result.state == commit_state::conflict && adopt_write_in_doubt())
        return false;
    const std::scoped_lock lock(mutex_);
    in_doubt_id_ =
        result.state == commit_state::unknown ? change.id : std::string();
    if (result.state == commit_state::conflict)
        registered_ = false;
    if (result.state != commit_state::committed)
        return false;
    self_.renewal = next.renewal;
    self_version_ = result.revision;
    confirmed_at_ = sent;
    return true;
}

/// Adopts the row's version when a renewal with an unknown outcome has written
/// the row; returns whether it did.
bool member_registry::adopt_write_in_doubt()
{
    std::string id;
    {
        const std::scoped_lock lock(mutex_);
        id = in_doubt_id_;
    }
    if (id.empty())
        return false;
    const auto row = table_.read(member_key(self_.name));
    if (!row || row->writer != id)
        return false;
    const std::scoped_lock lock(mutex_);
    self_version_ = row->version;
    in_doubt_id_.clear();
    return true;
}

bool member_registry::renew()
{
    bool registered = false;
    {
        const std::scoped_lock lock(mutex_);
        registered = registered_;
    }
    if (registered && write_self(false))
        return true;
    {
        const std::scoped_lock lock(mutex_);
        registered = registered_;
    }
    if (registered)
        return false;
    base::log_event(base::log_level::warning, "members", "fenced",
                    {{"remedy", "registering with a new incarnation"}});
    return register_self();
}

bool member_registry::leave()
{
    return write_self(true);
}

bool member_registry::refresh()
{
    const auto sent = clock_.now();
    const auto rows = table_.scan_all(member_prefix);
    if (!rows)
        return false;
    std::map<std::string, known_member, std::less<>> next;
    for (const auto& it : *rows)
    {
        const auto record = parse_member(it.value);
        if (record)
            next[record->name] = {*record, it.version};
    }
    const std::scoped_lock lock(mutex_);
    members_ = std::move(next);
    rows_read_at_ = sent;
    return true;
}

bool member_registry::remove(const known_member& member)
{
    const auto key = member_key(member.record.name);
    const ports::transaction change{
        base::unique_id(), {{key, member.version}}, {}, {key}};
    return table_.commit(change).state == commit_state::committed;
}

commit_state member_registry::fence(const known_member& member)
{
    auto fenced = member.record;
    fenced.fenced = true;
    const auto key = member_key(fenced.name);
    const ports::transaction change{base::unique_id(),
                                    {{key, member.version}},
                                    {{key, to_row(fenced)}},
                                    {}};
    return ports::commit_resolved(table_, change, key).state;
}

std::vector<known_member> member_registry::members() const
{
    const std::scoped_lock lock(mutex_);
    std::vector<known_member> out;
    for (const auto& [name, member] : members_)
        out.push_back(member);
    return out;
}

std::optional<known_member> member_registry::find(std::string_view name) const
{
    const std::scoped_lock lock(mutex_);
    const auto it = members_.find(name);
    if (it == members_.end())
        return std::nullopt;
    return it->second;
}

std::chrono::milliseconds member_registry::rows_age() const
{
    const std::scoped_lock lock(mutex_);
    if (!rows_read_at_)
        return std::chrono::milliseconds{-1};
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        clock_.now() - *rows_read_at_);
}

std::uint64_t member_registry::incarnation() const
{
    const std::scoped_lock lock(mutex_);
    return self_.incarnation;
}

const std::string& member_registry::name() const
{
    return self_.name;
}

std::optional<ports::check> member_registry::own_row() const
{
    const std::scoped_lock lock(mutex_);
    if (!registered_)
        return base::fail(base::error_kind::unavailable,
                          "this daemon is not registered",
                          "retry after a delay");
    return ports::check{member_key(self_.name), self_version_};
}

bool member_registry::has_authority() const
{
    const std::scoped_lock lock(mutex_);
    return registered_ && clock_.now() - confirmed_at_ <= authority_;
}

void member_registry::confirm(base::steady_time as_of)
{
    const std::scoped_lock lock(mutex_);
    confirmed_at_ = std::max(confirmed_at_, as_of);
}

} // namespace mustardwick::coordination
