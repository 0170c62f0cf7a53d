#include "testing/standin/worker_codec.hpp"

#include <limits>

#include "testing/standin/json_response.hpp"
#include "testing/standin/worker_state.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr std::int64_t max_amount = std::numeric_limits<std::int32_t>::max();

wire::start_order parse_start(const web::json::value& value,
                              std::vector<std::string>& errors)
{
    base::object_reader reader(value, "starts", errors);
    wire::start_order out;
    out.attempt = reader.required_text("attempt");
    out.job = reader.text("job", "");
    out.index =
        static_cast<std::int32_t>(reader.number("index", 0, 0, max_amount));
    out.kind = reader.text("kind", "batch");
    out.millicpus = reader.number("millicpus", 0, 0, max_amount);
    out.memory_mb = reader.number("memory_mb", 0, 0, max_amount);
    out.accelerators = reader.number("accelerators", 0, 0, max_amount);
    out.payload = reader.text("payload", "");
    return out;
}

} // namespace

ports::task_orders parse_orders(base::object_reader& reader,
                                std::vector<std::string>& errors)
{
    ports::task_orders out;
    out.stops = reader.texts("stops");
    const auto* starts = reader.raw("starts");
    if (starts == nullptr || !starts->is_array())
        return out;
    for (const auto& it : starts->as_array())
        out.starts.push_back(parse_start(it, errors));
    return out;
}

web::json::value to_json(const std::vector<wire::attempt_report>& ended)
{
    return json_array(ended,
                      [](const wire::attempt_report& it)
                      {
                          return json_object()
                              .text("attempt", it.attempt)
                              .text("event", name_of(it.event))
                              .text("detail", it.detail)
                              .value();
                      });
}

const char* name_of(ports::attempt_state state)
{
    switch (state)
    {
    case ports::attempt_state::unknown:
        return "unknown";
    case ports::attempt_state::never_started:
        return "never_started";
    case ports::attempt_state::running:
        return "running";
    case ports::attempt_state::done:
        break;
    }
    return "done";
}

} // namespace mustardwick::testing
