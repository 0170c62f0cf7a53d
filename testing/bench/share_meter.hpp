#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "mustardwick/policy/cell.hpp"

#include "outcome.hpp"

namespace mustardwick::bench
{

/// @brief Demand and usage of a team, as fractions of the cell.
struct team_demand
{
    double weight = 1;
    double used = 0;
    /// Demand of services, urgent, normal and best effort jobs. Earlier entries
    /// take precedence over later ones regardless of the shares.
    std::array<double, 4> wanted{};
    double fair_share = 0;
};

/// @brief Computes the weighted max-min fair share of each team, class by
/// class; no team gets more than its demand.
void allocate_fairly(std::map<std::string, team_demand>& teams, double supply);

/// @brief Samples packing and the distance of the teams from their fair share.
class share_meter
{
public:
    void sample(const policy::cell& state);
    void report(outcome& result) const;

private:
    void sample_packing(const policy::cell& state);

    std::vector<double> packing_;
    std::map<std::string, std::vector<double>> distances_;
};

} // namespace mustardwick::bench
