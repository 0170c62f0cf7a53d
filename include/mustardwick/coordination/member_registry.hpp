#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/coordination/records.hpp"
#include "mustardwick/ports/table.hpp"

namespace mustardwick::coordination
{

/// @brief A member row with its version in the table.
struct known_member
{
    member_record record;
    std::uint64_t version = 0;
};

/// @brief Own member row, the rows of the others, and the own authority.
///
/// The daemon has authority while the table or its peers have confirmed within
/// a bound that nobody has fenced it. Without authority it must not act on a
/// worker lease.
class member_registry
{
public:
    member_registry(ports::table table, const base::clock& time,
                    member_record self, std::chrono::milliseconds authority);

    /// @brief Writes the own row with the next incarnation.
    bool register_self();

    /// @brief Renews the own row; a fenced daemon registers again.
    bool renew();

    /// @brief Marks the own row as leaving.
    bool leave();

    /// @brief Reads all member rows.
    bool refresh();

    /// @brief Deletes the row of a member that is gone for good.
    bool remove(const known_member& member);

    std::vector<known_member> members() const;
    std::optional<known_member> find(std::string_view name) const;

    /// @brief Time since the rows were read; negative when they never were.
    std::chrono::milliseconds rows_age() const;

    std::uint64_t incarnation() const;
    const std::string& name() const;

    /// @brief The check that a transaction applies only while this daemon is
    /// not fenced; empty while it is not registered.
    std::optional<ports::check> own_row() const;

    bool has_authority() const;

    /// @brief Extends the authority on the word of all known peers.
    void confirm(base::steady_time as_of);

    /// @brief Called with the new incarnation after each registration.
    void on_registration(std::function<void(std::uint64_t)> listener);

private:
    bool write_self(bool leaving);
    bool adopt_write_in_doubt();

    ports::table table_;
    const base::clock& clock_;
    std::chrono::milliseconds authority_;
    mutable std::mutex mutex_;
    std::mutex write_mutex_;
    member_record self_;
    std::uint64_t self_version_ = 0;
    /// A renewal whose answer was lost; its commit is found by its id.
    std::string in_doubt_id_;
    bool registered_ = false;
    base::steady_time confirmed_at_{};
    std::optional<base::steady_time> rows_read_at_;
    std::map<std::string, known_member, std::less<>> members_;
    std::function<void(std::uint64_t)> listener_;
};

} // namespace mustardwick::coordination
