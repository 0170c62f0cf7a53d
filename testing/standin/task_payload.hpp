#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace mustardwick::testing
{

/// @brief Behaviour of a task, parsed from {"run_ms":N,"fail":bool}.
struct task_payload
{
    std::chrono::milliseconds run_time{100};
    bool fail = false;
};

/// @brief Behaviour of a request, parsed from {"work_ms":N,"echo":"..."}.
struct request_payload
{
    std::chrono::milliseconds work_time{0};
    std::string echo;
    /// False when the body is not a JSON object; the body is then echoed as is.
    bool is_json = false;
};

task_payload parse_task_payload(std::string_view text);
request_payload parse_request_payload(std::string_view text);

} // namespace mustardwick::testing
