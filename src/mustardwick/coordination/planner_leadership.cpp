#include "mustardwick/coordination/planner_leadership.hpp"

#include <utility>

#include "mustardwick/base/identity.hpp"
#include "mustardwick/base/log.hpp"

namespace mustardwick::coordination
{

using ports::commit_state;

planner_leadership::planner_leadership(ports::table table,
                                       const member_registry& registry,
                                       const cluster_view& view)
    : table_(std::move(table)), registry_(registry), view_(view)
{
}

bool planner_leadership::should_acquire(const leadership_record& record) const
{
    if (view_.assigned_to(planner_key) != registry_.name())
        return false;
    if (record.owner.empty() || !view_.is_live(record.owner))
        return true;
    // A holder that restarted has a new incarnation and no longer acts as the
    // planner.
    const auto holder = registry_.find(record.owner);
    return holder && holder->record.incarnation != record.incarnation;
}

void planner_leadership::update_record(const leadership_record& record,
                                       std::uint64_t version)
{
    const std::scoped_lock lock(mutex_);
    record_ = record;
    version_ = version;
    held_ = !record.owner.empty() && record.owner == registry_.name() &&
            record.incarnation == registry_.incarnation();
}

bool planner_leadership::tick()
{
    const auto row = table_.read(planner_key);
    if (!row)
        return false;
    const auto record =
        parse_leadership(row->value).value_or(leadership_record{});
    update_record(record, row->version);
    if (is_held() || !should_acquire(record))
        return true;
    return acquire(*row, record);
}

bool planner_leadership::acquire(const ports::row& row,
                                 const leadership_record& record)
{
    const leadership_record next{registry_.name(), registry_.incarnation(),
                                 record.epoch + 1};
    const std::string key(planner_key);
    const ports::transaction change{
        base::unique_id(), {{key, row.version}}, {{key, to_row(next)}}, {}};
    const auto result = ports::commit_resolved(table_, change, key);
    if (result.state != commit_state::committed)
        return result.state == commit_state::conflict;
    update_record(next, result.revision);
    base::log_event(base::log_level::info, "planner", "leadership_acquired",
                    {{"epoch", next.epoch}, {"previous", record.owner}});
    return true;
}

std::optional<ports::check> planner_leadership::guard() const
{
    const std::scoped_lock lock(mutex_);
    const bool valid = held_ && record_.incarnation == registry_.incarnation();
    if (!valid)
        return std::nullopt;
    return ports::check{std::string(planner_key), version_};
}

void planner_leadership::mark_lost()
{
    const std::scoped_lock lock(mutex_);
    held_ = false;
}

bool planner_leadership::release()
{
    const auto check = guard();
    if (!check)
        return true;
    leadership_record next;
    {
        const std::scoped_lock lock(mutex_);
        next.epoch = record_.epoch + 1;
    }
    mark_lost();
    const ports::transaction change{
        base::unique_id(), {*check}, {{check->key, to_row(next)}}, {}};
    const auto result = ports::commit_resolved(table_, change, check->key);
    return result.state == commit_state::committed;
}

std::string planner_leadership::holder() const
{
    const std::scoped_lock lock(mutex_);
    return record_.owner;
}

std::uint64_t planner_leadership::epoch() const
{
    const std::scoped_lock lock(mutex_);
    return record_.epoch;
}

} // namespace mustardwick::coordination
