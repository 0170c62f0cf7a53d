#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mustardwick::durable
{

/// @brief Address of one row of the store.
struct row_address
{
    std::string table;
    std::string partition;
    std::string key;

    auto operator<=>(const row_address&) const = default;
};

struct row
{
    row_address address;
    std::string value;
    std::int64_t version = 0;
    bool deleted = false;
};

/// @brief Requires that a row has this version; 0 means that it must not exist.
struct row_condition
{
    row_address address;
    std::int64_t version = 0;
};

struct row_write
{
    row_address address;
    std::string value;
};

/// @brief Conditions and changes that are applied atomically.
struct transaction
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
    std::vector<row_address> removals;

    bool changes_nothing() const
    {
        return writes.empty() && removals.empty();
    }
};

enum class store_outcome
{
    done,
    /// A condition did not hold; the reply carries the current rows.
    conflict,
    /// The store rejected the call or was not reached; nothing changed.
    refused,
    /// The store will never accept the call, for its content; nothing changed.
    invalid,
    /// The requested changes are older than the retained history.
    history_truncated,
    /// No reply; the call may still take effect.
    unknown
};

struct store_reply
{
    store_outcome end = store_outcome::unknown;
    std::vector<row> rows;
    /// The store's latest version when it replied.
    std::int64_t version = 0;
    bool has_more = false;
    /// The store's steady clock when it replied; 0 when not given.
    std::int64_t clock_ms = 0;
    std::string reason;

    bool ok() const
    {
        return end == store_outcome::done;
    }
};

using store_callback = std::function<void(store_reply)>;

} // namespace mustardwick::durable
