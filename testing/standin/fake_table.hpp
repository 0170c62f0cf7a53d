#pragma once

#include <atomic>
#include <optional>
#include <string_view>

#include "mustardwick/ports/table.hpp"
#include "testing/standin/table_state.hpp"

namespace mustardwick::testing
{

/// @brief An in-process table service with fault injection.
///
/// Several instances may share one state, so that faults can affect a single
/// client.
class fake_table
{
public:
    explicit fake_table(table_state& state) : state_(state) {}

    /// @brief While set, reads fail and commits have an unknown outcome.
    void set_down(bool value)
    {
        down_ = value;
    }

    /// @brief While set, commits are not applied and report an unknown outcome.
    void set_read_only(bool value)
    {
        read_only_ = value;
    }

    /// @brief The next n commits take effect but report an unknown outcome.
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
