#pragma once

#include <string>
#include <vector>

#include "testing/checker/evidence.hpp"

namespace mustardwick::testing
{

/// @brief One broken promise.
struct violation
{
    std::string promise;
    std::string detail;
    event_time at = 0;
};

/// @brief How long after a change the old state may still apply.
struct margins
{
    event_time domain_out = 4 * one_second;
    event_time host_leaving = 5 * one_second;
    event_time key_withdrawn = 4 * one_second;
    event_time limit_lowered = 5 * one_second;
};

using violations = std::vector<violation>;

/// @brief P1: running tasks and requests stay within the host's capacity.
violations check_capacity(const evidence& seen);

/// @brief P2: at most one attempt of a task runs at any instant.
violations check_single_attempt(const evidence& seen);

/// @brief P3: no request runs that was sent with a withdrawn key.
violations check_keys(const evidence& seen, const margins& allowed);

/// @brief P4: the running work of a team stays within its limits.
violations check_team_limits(const evidence& seen, const margins& allowed);

/// @brief P5: no task starts in a failure domain that is out of service.
violations check_failure_domains(const evidence& seen, const margins& allowed);

/// @brief P6: every answer belongs to the caller's own request and was given by
/// a target.
violations check_answers(const evidence& seen);

/// @brief P7: a call that was refused as not run did not run.
violations check_refusals(const evidence& seen);

/// @brief P8: a request that is not idempotent runs at most once.
violations check_at_most_once(const evidence& seen);

/// @brief P9: no new work starts on a host that is leaving.
violations check_leaving_hosts(const evidence& seen, const margins& allowed);

/// @brief P10: a planned stop of a daemon interrupts no request.
violations check_planned_stops(const evidence& seen);

/// @brief Checks all promises; unusable evidence counts as a violation.
violations check_all(const evidence& seen, const margins& allowed);

} // namespace mustardwick::testing
