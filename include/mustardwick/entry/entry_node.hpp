#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "mustardwick/entry/settings.hpp"

namespace mustardwick::entry
{

/// @brief An entry daemon that keeps all durable state in a remote store.
class entry_node
{
public:
    /// Only the sources of this class and its tests define it.
    struct impl;

    explicit entry_node(settings options);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /// @brief Runs until SIGTERM or SIGINT; returns false when the daemon could
    /// not start.
    ///
    /// SIGHUP calls reload to read the settings again.
    bool run(const std::function<std::optional<settings>()>& reload);

private:
    std::shared_ptr<impl> impl_;
};

} // namespace mustardwick::entry
