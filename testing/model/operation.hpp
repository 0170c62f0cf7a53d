#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mustardwick::testing
{

/// @brief Kinds of generated steps.
enum class action : std::uint8_t
{
    advance,
    submit,
    cancel,
    request,
    /// Sends up to eight requests, each while the previous one still runs.
    burst,
    repeat_request,
    query_request,
    kill_daemon,
    restart_daemon,
    pause_daemon,
    resume_daemon,
    /// The daemon's process pauses right before its next call to a worker, when
    /// it has already checked that it may send the call.
    pause_at_send,
    table_down,
    table_read_only,
    table_up,
    table_down_for_all,
    lose_table_answer,
    cut_peers,
    cut_worker,
    heal_cuts,
    silence_worker,
    restart_worker,
    lose_worker_answer,
    /// The next one or two requests run until their timeout and return no
    /// answer.
    leave_request_running,
    take_domain_out,
    bring_domain_back,
    race_operators,
    withdraw_key,
    grant_key,
    lower_limit,
    raise_limit,
    count
};

/// @brief One step.
///
/// The numbers select the daemon, worker, team or duration that the step
/// affects, modulo how many of them exist.
struct operation
{
    action what = action::advance;
    unsigned first = 0;
    unsigned second = 0;
};

/// @brief Maps a number below action_choices to an action.
///
/// A third of the choices advances the time, since faults take effect over
/// time, and a third is work, since faults without work break no promise.
action action_of(unsigned choice);

inline constexpr unsigned action_choices =
    3 * static_cast<unsigned>(action::count);

/// @brief Returns the steps generated from a seed; the same seed gives the same
/// steps.
std::vector<operation> operations_of(std::uint64_t seed, std::size_t length);

std::string to_text(const operation& value);

} // namespace mustardwick::testing
