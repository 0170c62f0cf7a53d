#pragma once

#include <vector>

#include "round.hpp"

namespace mustardwick::policy
{

/// @brief Accepts sizes that could fit in one of several free spaces and within
/// the team's limit.
struct space_filter
{
    std::vector<resources> spaces;
    /// Resources left within the team's limit.
    resources headroom;

    bool operator()(const resources& size) const
    {
        return size.fits_in(headroom) &&
               std::ranges::any_of(spaces,
                                   [&](const auto& space)
                                   {
                                       return size.fits_in(space);
                                   });
    }

    void add(const resources& space);
};

/// @brief Returns a filter for jobs not tried yet, which accepts what may fit
/// on any host.
space_filter filter_anywhere(const round& it, const team_entry& team,
                             priority_class priority);

/// @brief Returns a filter for jobs that did not fit at a version of the space
/// log, which accepts what may fit in the space that grew since.
space_filter filter_grown(round& it, const team_entry& team,
                          std::uint64_t tried_at);

} // namespace mustardwick::policy
