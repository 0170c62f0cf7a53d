#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "mustardwick/ports/table.hpp"

namespace mustardwick::testing
{

/// @brief Operation counts and current row count of a table service.
struct table_statistics
{
    std::uint64_t reads = 0;
    std::uint64_t commits = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t rows = 0;
};

/// @brief An in-memory transactional table.
class table_state
{
public:
    static constexpr std::size_t default_page_rows = 1000;

    /// @brief Applies a transaction when all its checks hold.
    ///
    /// Transaction ids are not deduplicated; only the checks are evaluated.
    ports::commit_result commit(const ports::transaction& change);

    /// @brief Reads one row; an absent row has version 0.
    ports::row read(std::string_view key);

    /// @brief Reads up to `limit` rows whose keys start with the prefix and
    /// come after the given key, in key order.
    ports::row_page scan(std::string_view prefix, std::string_view after,
                         std::size_t limit = default_page_rows);

    table_statistics statistics() const;

private:
    std::uint64_t version_of(const std::string& key) const;
    void apply(const ports::transaction& change);

    mutable std::mutex mutex_;
    std::map<std::string, ports::row, std::less<>> rows_;
    std::uint64_t revision_ = 0;
    table_statistics statistics_;
};

} // namespace mustardwick::testing
