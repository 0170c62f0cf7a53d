#include "mustardwick/policy/types.hpp"

namespace mustardwick::policy
{

resources& resources::operator+=(const resources& other)
{
    millicpus += other.millicpus;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other)
{
    millicpus -= other.millicpus;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
}

bool resources::fits_in(const resources& other) const
{
    return millicpus <= other.millicpus && memory_mb <= other.memory_mb &&
           accelerators <= other.accelerators;
}

resources operator+(resources left, const resources& right)
{
    return left += right;
}

resources operator-(resources left, const resources& right)
{
    return left -= right;
}

std::string_view name_of(work_kind kind)
{
    switch (kind)
    {
    case work_kind::service:
        return "service";
    case work_kind::batch:
        return "batch";
    case work_kind::gang:
        return "gang";
    }
    return "unknown";
}

std::string_view name_of(priority_class priority)
{
    switch (priority)
    {
    case priority_class::best_effort:
        return "best_effort";
    case priority_class::normal:
        return "normal";
    case priority_class::urgent:
        return "urgent";
    }
    return "unknown";
}

} // namespace mustardwick::policy
