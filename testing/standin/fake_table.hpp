#pragma once

#include <atomic>
#include <optional>
#include <string_view>

#include "mustardwick/ports/table.hpp"
#include "testing/standin/table_state.hpp"

namespace mustardwick::testing
{

/// @brief A table service in the same process with faults to switch on.
///
/// Several fakes may share one state, so that the store fails for one client
/// only.
class fake_table
{
public:
    explicit fake_table(table_state& state) : state_(state) {}

    /// @brief While set, reads fail and commits have an unknown fate.
    void set_down(bool value)
    {
        down_ = value;
    }

    /// @brief While set, commits are not applied and have an unknown fate.
    void set_read_only(bool value)
    {
        read_only_ = value;
    }

    /// @brief The next n commits take effect but report an unknown fate.
    void lose_answers(int n)
    {
        lose_answers_ = n;
    }

    std::optional<ports::row> read(std::string_view key);
    std::optional<ports::row_page> scan(std::string_view prefix,
                                        std::string_view after);
    ports::commit_result commit(const ports::transaction& change);

private:
    table_state& state_;
    std::atomic<bool> down_{false};
    std::atomic<bool> read_only_{false};
    std::atomic<int> lose_answers_{0};
};

static_assert(ports::table_service<fake_table&>);

} // namespace mustardwick::testing
