#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/coordination/change_freeze.hpp"
#include "mustardwick/coordination/resources.hpp"
#include "mustardwick/ports/table.hpp"

namespace mustardwick::coordination
{

/// @brief A resource as stored in the table and returned to operators.
struct stored_resource
{
    resource_kind kind = resource_kind::queue;
    std::string name;
    /// Configuration version of the last change of the resource.
    std::uint64_t version = 0;
    /// Desired state as JSON text.
    std::string desired;
};

/// @brief Optimistic concurrency condition under which a change is accepted.
enum class change_precondition
{
    /// The resource does not exist.
    absent,
    /// The resource exists at the version given in the request.
    version
};

/// @brief A change requested by an operator.
struct change_request
{
    resource_kind kind = resource_kind::queue;
    std::string name;
    change_precondition expected = change_precondition::absent;
    std::uint64_t version = 0;
    bool remove = false;
    /// Desired state as JSON text; ignored when remove is set.
    std::string desired;
};

/// @brief Result of a change: committed, or refused by its precondition.
struct change_result
{
    /// Version of the resource after the change; 0 on a conflict.
    std::uint64_t version = 0;
    /// The precondition did not hold; nothing was changed.
    bool conflict = false;
    /// Version of the resource in the table; 0 when it does not exist.
    std::uint64_t current_version = 0;
};

/// @brief Caches the configuration of the table and tracks its freshness.
///
/// The cached version never decreases: a delayed, older response of the table
/// does not replace a newer copy.
class config_store
{
public:
    config_store(ports::table table, const base::clock& time,
                 std::chrono::milliseconds freshness, change_freeze& freeze);

    /// @brief Reads the head row, which holds the latest version, and applies
    /// the changes that the copy lacks.
    ///
    /// Returns false, with last_error(), when the table is unreachable.
    bool refresh();

    /// @brief Returns the current copy; never null.
    std::shared_ptr<const configuration> current() const;

    /// @brief Returns whether the copy was confirmed within the freshness
    /// bound.
    bool is_fresh() const;

    /// @brief Returns the time since the copy was last confirmed, by the table
    /// or by peers; milliseconds::max() when it never was.
    std::chrono::milliseconds age() const;

    /// @brief Marks the copy as current as of a given time.
    ///
    /// Has no effect unless the version equals that of the copy and the time is
    /// later than that of the last confirmation.
    void confirm(std::uint64_t version, base::steady_time as_of);

    /// @brief Adds a check, normally of the daemon's member row, to every
    /// change.
    ///
    /// Peers confirm each other's copies without querying a fenced daemon, so
    /// a fenced daemon must not commit changes. When the function returns
    /// std::nullopt the change is not sent. Call before the first change.
    void guard_changes(std::function<std::optional<ports::check>()> own_row);

    /// @brief Commits one change.
    ///
    /// Returns a result with conflict set when the precondition does not hold.
    /// Returns std::nullopt, with last_error(), while a change freeze is in
    /// force, when the function of guard_changes() returns std::nullopt, when
    /// the table is unreachable, when every attempt conflicts with another
    /// write, or when the outcome is unknown.
    std::optional<change_result> change(const change_request& request);

    /// @brief Reads one resource from the table; error_kind::not_found when it
    /// does not exist.
    std::optional<stored_resource> read(resource_kind kind,
                                        std::string_view name) const;
    /// @brief Reads all resources of a kind from the table.
    std::optional<std::vector<stored_resource>> list(resource_kind kind) const;

    /// @brief Returns the changes after a version, oldest first;
    /// error_kind::stale when the change log no longer contains all of them.
    std::optional<std::vector<configuration_change>>
    changes_after(std::uint64_t version) const;

private:
    std::optional<std::vector<configuration_change>>
    read_log(std::uint64_t after) const;
    bool reload(std::uint64_t version);
    bool apply_log(std::uint64_t version);
    void publish(std::shared_ptr<const configuration> value);
    ports::transaction build_change(const change_request& request,
                                    const ports::row& head,
                                    std::uint64_t version) const;

    ports::table table_;
    const base::clock& clock_;
    std::chrono::milliseconds freshness_;
    change_freeze& freeze_;
    std::function<std::optional<ports::check>()> own_row_;
    mutable std::mutex mutex_;
    std::shared_ptr<const configuration> current_;
    base::steady_time confirmed_at_{};
    bool ever_confirmed_ = false;
    std::mutex refresh_mutex_;
};

} // namespace mustardwick::coordination
