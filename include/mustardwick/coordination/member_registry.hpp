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

/// @brief A member row and its version in the table.
struct known_member
{
    member_record record;
    std::uint64_t version = 0;
};

/// @brief Maintains this daemon's member row, a copy of the other rows, and
/// this daemon's authority.
///
/// The daemon has authority while the table or its peers confirmed recently
/// enough that no other daemon has fenced it. Without authority it must not act
/// on a worker lease.
class member_registry
{
public:
    member_registry(ports::table table, const base::clock& time,
                    member_record self, std::chrono::milliseconds authority);

    /// @brief Writes this daemon's row with the next incarnation; returns
    /// whether the write was committed.
    bool register_self();

    /// @brief Renews this daemon's row, or registers again when it is not
    /// registered or has been fenced; returns whether either succeeded.
    bool renew();

    /// @brief Marks this daemon's row as leaving; returns whether the write was
    /// committed.
    bool leave();

    /// @brief Replaces the copy of the member rows by a new read; false when
    /// the table did not answer.
    bool refresh();

    /// @brief Deletes the row of a member that will not return; returns
    /// whether the row was unchanged and the deletion was committed.
    bool remove(const known_member& member);

    /// @brief Fences another member unless its row has changed.
    ports::commit_state fence(const known_member& member);

    std::vector<known_member> members() const;
    std::optional<known_member> find(std::string_view name) const;

    /// @brief Returns the time since the rows were last read; negative before
    /// the first read.
    std::chrono::milliseconds rows_age() const;

    std::uint64_t incarnation() const;
    const std::string& name() const;

    /// @brief Returns a check that makes a transaction conflict when this
    /// daemon's row has changed, as it does when the daemon is fenced; empty,
    /// with last_error(), while the daemon is not registered.
    std::optional<ports::check> own_row() const;

    bool has_authority() const;

    /// @brief Records a confirmation by peers that this daemon was not fenced
    /// at the given time.
    void confirm(base::steady_time as_of);

    /// @brief Sets a listener that is called with the new incarnation after
    /// each registration.
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
    /// Transaction id of a renewal whose outcome is unknown. The row's writer
    /// shows whether it was committed.
    std::string in_doubt_id_;
    bool registered_ = false;
    base::steady_time confirmed_at_{};
    std::optional<base::steady_time> rows_read_at_;
    std::map<std::string, known_member, std::less<>> members_;
    std::function<void(std::uint64_t)> listener_;
};

} // namespace mustardwick::coordination
