#include "testing/model/operation.hpp"

#include <array>
#include <random>

namespace mustardwick::testing
{

action action_of(unsigned choice)
{
    constexpr auto actions = static_cast<unsigned>(action::count);
    constexpr std::array work = {action::submit,         action::request,
                                 action::burst,          action::submit,
                                 action::repeat_request, action::request,
                                 action::query_request};
    if (choice < actions)
        return action::advance;
    if (choice < 2 * actions)
        return work.at(choice % work.size());
    return static_cast<action>(choice - 2 * actions);
}

std::vector<operation> operations_of(std::uint64_t seed, std::size_t length)
{
    std::mt19937_64 random(seed);
    std::vector<operation> out;
    for (std::size_t n = 0; n < length; ++n)
    {
        const auto what =
            action_of(static_cast<unsigned>(random() % action_choices));
        out.push_back({what, static_cast<unsigned>(random() % 64),
                       static_cast<unsigned>(random() % 64)});
    }
    return out;
}

std::string to_text(const operation& value)
{
    constexpr std::array names = {"advance",
                                  "submit",
                                  "cancel",
                                  "request",
                                  "burst",
                                  "repeat_request",
                                  "query_request",
                                  "kill_daemon",
                                  "restart_daemon",
                                  "pause_daemon",
                                  "resume_daemon",
                                  "pause_at_send",
                                  "table_down",
                                  "table_read_only",
                                  "table_up",
                                  "table_down_for_all",
                                  "lose_table_answer",
                                  "cut_peers",
                                  "cut_worker",
                                  "heal_cuts",
                                  "silence_worker",
                                  "restart_worker",
                                  "lose_worker_answer",
                                  "leave_request_running",
                                  "take_domain_out",
                                  "bring_domain_back",
                                  "race_operators",
                                  "withdraw_key",
                                  "grant_key",
                                  "lower_limit",
                                  "raise_limit"};
    static_assert(names.size() == static_cast<std::size_t>(action::count));
    return names.at(static_cast<std::size_t>(value.what)) + std::string(" ") +
           std::to_string(value.first) + ' ' + std::to_string(value.second);
}

} // namespace mustardwick::testing
