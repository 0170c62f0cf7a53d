#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardwick::ports
{

/// @brief One row of the platform's transactional table service.
struct row
{
    std::string key;
    /// Table revision of the last write; 0 means that the row is absent.
    std::uint64_t version = 0;
    /// Id of the transaction that wrote the row.
    std::string writer;
    std::string value;
};

/// @brief A condition of a transaction: the row has this version.
struct check
{
    std::string key;
    std::uint64_t version = 0;
};

struct put
{
    std::string key;
    std::string value;
};

/// @brief Conditional writes that are committed atomically.
///
/// At least one written key must be checked, so that a transaction resent
/// after a lost answer is not applied twice.
struct transaction
{
    std::string id;
    std::vector<check> checks;
    std::vector<put> puts;
    std::vector<std::string> deletes;
};

enum class commit_state
{
    committed,
    conflict,
    /// No answer arrived: the transaction may or may not have committed.
    unknown
};

struct commit_result
{
    commit_state state = commit_state::unknown;
    /// Version of all written rows when committed.
    std::uint64_t revision = 0;
    /// Current versions of the rows whose checks failed.
    std::vector<check> conflicts;
};

struct row_page
{
    std::vector<row> rows;
    /// Key to continue after; empty on the last page.
    std::string next;
};

/// @brief Requirements on a table service.
///
/// Reads return std::nullopt and set base::last_error() when the service
/// cannot be reached; an absent row has version 0.
template <typename Table>
concept table_service = requires(Table table, std::string_view key,
                                 const transaction& change)
{
    {
        table.read(key)
        } -> std::same_as<std::optional<row>>;
    {
        table.scan(key, key)
        } -> std::same_as<std::optional<row_page>>;
    {
        table.commit(change)
        } -> std::same_as<commit_result>;
};

/// @brief Type-erased reference to a table service, which must outlive it.
class table
{
public:
    template <table_service Service>
    explicit table(Service& service)
        : read_(
              [&service](std::string_view key)
              {
                  return service.read(key);
              }),
          scan_(
              [&service](std::string_view prefix, std::string_view after)
              {
                  return service.scan(prefix, after);
              }),
          commit_(
              [&service](const transaction& change)
              {
                  return service.commit(change);
              })
    {
    }

    /// @brief Reads one row.
    std::optional<row> read(std::string_view key) const
    {
        return read_(key);
    }

    /// @brief Reads one page of the rows whose keys have a prefix.
    std::optional<row_page> scan(std::string_view prefix,
                                 std::string_view after = {}) const
    {
        return scan_(prefix, after);
    }

    /// @brief Reads all rows whose keys have a prefix.
    std::optional<std::vector<row>> scan_all(std::string_view prefix) const;

    /// @brief Sends a transaction once, without retries.
    commit_result commit(const transaction& change) const
    {
        return commit_(change);
    }

private:
    std::function<std::optional<row>(std::string_view)> read_;
    std::function<std::optional<row_page>(std::string_view, std::string_view)>
        scan_;
    std::function<commit_result(const transaction&)> commit_;
};

/// @brief Resends a transaction until its outcome is known.
///
/// The checks keep a resent transaction from being applied twice. A conflict
/// after a lost answer is resolved by reading the witness row: if it carries
/// this transaction's id, the transaction has committed. Returns
/// commit_state::unknown only when the table did not settle the outcome within
/// `attempts` tries. Set in_doubt when an earlier call with the same
/// transaction returned commit_state::unknown.
commit_result commit_resolved(const table& service, const transaction& change,
                              std::string_view witness_key, int attempts = 3,
                              bool in_doubt = false);

} // namespace mustardwick::ports
