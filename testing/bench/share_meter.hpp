#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "mustardwick/policy/cell.hpp"

#include "outcome.hpp"

namespace mustardwick::bench
{

/// @brief What a team wants and gets, as parts of the cell.
struct team_demand
{
    double weight = 1;
    double used = 0;
    /// What services, urgent, normal and best effort work wants; earlier
    /// entries come before later ones whatever the shares are.
    std::array<double, 4> wanted{};
    double fair_share = 0;
};

/// @brief Divides the capacity by weight within each class of work; nobody gets
/// more than is wanted.
void allocate_fairly(std::map<std::string, team_demand>& teams, double supply);

/// @brief Samples packing and the distance of the teams from their shares.
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
