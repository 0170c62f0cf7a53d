#include "testing/standin/fake_table.hpp"

#include "mustardwick/base/error.hpp"
#include "testing/standin/counter.hpp"

namespace mustardwick::testing
{

namespace
{

std::nullopt_t fail_unreachable()
{
    return base::fail(base::error_kind::unavailable,
                      "the table service is unreachable",
                      "retry when it is back");
}

} // namespace

std::optional<ports::row> fake_table::read(std::string_view key)
{
    if (down_)
        return fail_unreachable();
    return state_.read(key);
}

std::optional<ports::row_page> fake_table::scan(std::string_view prefix,
                                                std::string_view after)
{
    if (down_)
        return fail_unreachable();
    return state_.scan(prefix, after);
}

ports::commit_result fake_table::commit(const ports::transaction& change)
{
    if (down_ || read_only_)
    {
        fail_unreachable();
        return {};
    }
    auto out = state_.commit(change);
    if (!decrement_if_positive(lose_answers_))
        return out;
    fail_unreachable();
    return {};
}

} // namespace mustardwick::testing
