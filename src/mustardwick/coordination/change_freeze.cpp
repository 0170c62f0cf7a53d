#include "mustardwick/coordination/change_freeze.hpp"

#include <algorithm>

#include "mustardwick/base/error.hpp"

namespace mustardwick::coordination
{

change_freeze::change_freeze(const base::clock& time) : clock_(time) {}

bool change_freeze::freeze_until(base::steady_time until)
{
    const std::scoped_lock lock(mutex_);
    if (changes_in_progress_ > 0)
        return false;
    frozen_until_ = std::max(frozen_until_, until);
    return true;
}

bool change_freeze::begin_change()
{
    const std::scoped_lock lock(mutex_);
    if (clock_.now() < frozen_until_)
    {
        base::fail(base::error_kind::unavailable,
                   "this daemon promised its peers not to change shared state "
                   "yet",
                   "retry after a delay");
        return false;
    }
    ++changes_in_progress_;
    return true;
}

void change_freeze::end_change(bool outcome_known)
{
    const std::scoped_lock lock(mutex_);
    if (outcome_known)
        --changes_in_progress_;
}

} // namespace mustardwick::coordination
