#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mustardwick/jobs/configuration.hpp"

namespace mustardwick::dispatch
{

/// @brief The queues through which jobs were accepted, by the key that the jobs
/// hold.
///
/// A job stays with its queue when a new configuration gives the queue another
/// name, moves it or removes it. A queue is identified by its host name and
/// path prefix, as callers see them; its name is only a label. The key is the
/// name at acceptance, or an alias if another queue has been given that name
/// since.
class accepted_queues
{
public:
    struct entry
    {
        /// As in the newest configuration that had the queue.
        jobs::queue terms;
        /// The newest configuration has the queue.
        bool is_configured = false;
        /// The last call of retain() found no need for it.
        bool is_unused = false;
        /// Its terms are stored, or about to be: a job needs them.
        bool has_row = false;
        /// The last call of retain() found no job that uses it.
        bool is_idle = false;
    };
    using renamed_keys = std::vector<std::pair<std::string, std::string>>;

    /// @brief Replaces all entries by stored ones, which configure() has to
    /// follow.
    void restore(const std::map<std::string, jobs::queue>& stored);

    /// @brief Takes over a new configuration. Returns the former and the new
    /// key of each queue whose key names another queue now.
    renamed_keys configure(const jobs::configuration& value);

    /// @brief Lets the terms of a queue be stored: it has a job. A new leader
    /// reads all rows before it leads, so that other queues have none.
    void use(std::string_view key);

    /// @brief Removes the entries that two calls in a row have found neither
    /// used nor configured: a job that was submitted under the former
    /// configuration may arrive late. Removes the rows of those that two calls
    /// have found without jobs. Returns whether entries were removed.
    bool retain(const std::set<std::string, std::less<>>& used);

    /// @brief Returns an entry; null for an unknown key. It is valid until the
    /// next change.
    const entry* find(std::string_view key) const;

    bool has_changes() const
    {
        return !changed_.empty();
    }

    /// @brief Returns the keys whose rows were added, changed or removed since
    /// the last call.
    std::set<std::string> take_changes()
    {
        return std::exchange(changed_, {});
    }

    /// @brief Lets take_changes() return the keys of all rows.
    void mark_all_changed()
    {
        for (const auto& [key, value] : entries_)
            if (value.has_row)
                changed_.insert(key);
    }

private:
    std::string unused_alias(const std::string& key,
                             std::int64_t version) const;

    std::map<std::string, entry, std::less<>> entries_;
    std::set<std::string> changed_;
};

} // namespace mustardwick::dispatch
