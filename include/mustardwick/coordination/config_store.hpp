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

/// @brief A resource as the operator interface shows it.
struct stored_resource
{
    resource_kind kind = resource_kind::queue;
    std::string name;
    std::uint64_t version = 0;
    /// JSON text.
    std::string desired;
};

/// @brief What a change must find to be accepted.
enum class change_precondition
{
    absent,
    /// The resource has the given version.
    version
};

/// @brief A change that an operator asks for.
struct change_request
{
    resource_kind kind = resource_kind::queue;
    std::string name;
    change_precondition expected = change_precondition::absent;
    std::uint64_t version = 0;
    bool remove = false;
    /// JSON text; not used when the resource is removed.
    std::string desired;
};

struct change_result
{
    /// Version of the resource after the change.
    std::uint64_t version = 0;
    /// Set when the change lost a race.
    bool conflict = false;
    std::uint64_t current_version = 0;
};

/// @brief The daemon's copy of the configuration and its freshness.
///
/// Versions only move forward: an older answer of the table never replaces a
/// newer copy.
class config_store
{
public:
    config_store(ports::table table, const base::clock& time,
                 std::chrono::milliseconds freshness, change_freeze& freeze);

    /// @brief Reads the head and applies the changes since; false when the
    /// table did not answer.
    bool refresh();

    /// @brief The current copy; never null.
    std::shared_ptr<const configuration> current() const;

    /// @brief True while the copy was confirmed within the freshness bound.
    bool is_fresh() const;

    /// @brief Time since the last confirmation by the table.
    std::chrono::milliseconds age() const;

    /// @brief Confirms the copy on the word of peers.
    ///
    /// A version older than the copy confirms nothing.
    void confirm(std::uint64_t version, base::steady_time as_of);

    /// @brief Commits changes only while the check that is given holds.
    ///
    /// Peers vouch for each other without asking a fenced daemon, so that it
    /// must not change anything. Call before the first change.
    void guard_changes(std::function<std::optional<ports::check>()> own_row);

    /// @brief Commits one change.
    std::optional<change_result> change(const change_request& request);

    std::optional<stored_resource> read(resource_kind kind,
                                        std::string_view name) const;
    std::optional<std::vector<stored_resource>> list(resource_kind kind) const;

    /// @brief Changes after a version; error_kind::stale when the log no
    /// longer reaches back that far.
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
