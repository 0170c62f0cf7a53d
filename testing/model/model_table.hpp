#pragma once

#include "testing/model/defects.hpp"
#include "testing/standin/fake_table.hpp"

namespace mustardwick::testing
{

/// @brief A daemon's access to the table, with injected faults and a defect.
class model_table
{
public:
    model_table(fake_table& table, defect kind) : table_(table), defect_(kind)
    {
    }

    std::optional<ports::row> read(std::string_view key)
    {
        return table_.read(key);
    }

    std::optional<ports::row_page> scan(std::string_view prefix,
                                        std::string_view after)
    {
        return table_.scan(prefix, after);
    }

    ports::commit_result commit(const ports::transaction& change)
    {
        if (skips_commit(change, defect_))
            return {ports::commit_state::committed, 1, {}};
        return table_.commit(without_checks(change, defect_));
    }

private:
    fake_table& table_;
    defect defect_;
};

} // namespace mustardwick::testing
