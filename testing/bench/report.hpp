#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "outcome.hpp"
#include "requests.hpp"
#include "timing.hpp"
#include "workload.hpp"

namespace mustardwick::bench
{

/// @brief The outcomes of all planners for one deployment.
struct deployment_report
{
    deployment shape;
    std::vector<outcome> outcomes;
};

struct bench_report
{
    std::uint64_t seed = 0;
    /// Number of consecutive seeds, starting at seed, that are averaged.
    int seeds = 1;
    std::vector<deployment_report> deployments;
    std::vector<request_outcome> requests;
    std::vector<timing> timings;
};

/// @brief Returns the score, 0 to 1: a sum weighted as the deployment states.
double score_of(const deployment& shape, const outcome& it,
                double lookup_p99_ms);

/// @brief Prints the report as text.
void print_report(std::ostream& out, const bench_report& report);

/// @brief Returns the report as JSON text.
std::string report_json(const bench_report& report);

/// @brief Returns the report as an HTML page with bar charts.
std::string report_html(const bench_report& report);

} // namespace mustardwick::bench
