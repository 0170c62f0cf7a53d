#include "testing/standin/task_payload.hpp"

#include <vector>

#include "mustardwick/base/json.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr std::int64_t max_time_ms = 86'400'000;

} // namespace

task_payload parse_task_payload(std::string_view text)
{
    task_payload out;
    const auto value = base::parse_json(text);
    if (!value || !value->is_object())
        return out;
    std::vector<std::string> errors;
    base::object_reader reader(*value, "payload", errors);
    out.run_time = std::chrono::milliseconds(
        reader.number("run_ms", out.run_time.count(), 0, max_time_ms));
    out.fail = reader.flag("fail", false);
    return out;
}

request_payload parse_request_payload(std::string_view text)
{
    request_payload out;
    const auto value = base::parse_json(text);
    if (!value || !value->is_object())
        return out;
    std::vector<std::string> errors;
    base::object_reader reader(*value, "body", errors);
    out.is_json = true;
    out.work_time =
        std::chrono::milliseconds(reader.number("work_ms", 0, 0, max_time_ms));
    out.echo = reader.text("echo", "");
    return out;
}

} // namespace mustardwick::testing
