#include "mustardwick/cli/time_line_merge.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <iterator>
#include <limits>
#include <map>
#include <string>
#include <tuple>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"
#include "mustardwick/base/log.hpp"

namespace mustardwick::cli
{

namespace
{

using base::time_line_event;
using web::json::value;

constexpr std::int64_t microseconds_per_second = 1'000'000;

auto sort_key(const time_line_event& event)
{
    return std::tie(event.time, event.process, event.kind, event.subject,
                    event.detail);
}

time_line_event read_event(const value& item, const std::string& path,
                           std::vector<std::string>& errors)
{
    base::object_reader reader(item, path, errors);
    time_line_event out;
    out.time.microseconds =
        reader.number("t", 0, 0, std::numeric_limits<std::int64_t>::max());
    out.time.counter = static_cast<std::uint32_t>(
        reader.number("c", 0, 0, std::numeric_limits<std::uint32_t>::max()));
    out.process = reader.text("process", "");
    out.kind = reader.text("kind", "");
    out.subject = reader.text("subject", "");
    out.detail = reader.text("detail", "");
    return out;
}

std::string utc_time(std::int64_t microseconds)
{
    const std::time_t seconds = microseconds / microseconds_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buf{};
    const auto n =
        std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    auto fraction = std::to_string(microseconds % microseconds_per_second);
    fraction.insert(0, 6 - fraction.size(), '0');
    return std::string(buf.data(), n) + "." + fraction + "Z";
}

/// Assigns numbers to names, starting at 1, in the order of first use.
class name_numbers
{
public:
    /// Returns the number of a name, and whether the name is new.
    std::pair<int, bool> number(const std::string& name)
    {
        const auto next = static_cast<int>(numbers_.size()) + 1;
        const auto [it, is_new] = numbers_.emplace(name, next);
        return {it->second, is_new};
    }

private:
    std::map<std::string, int> numbers_;
};

value name_record(const char* what, int process, int thread,
                  const std::string& name)
{
    auto out = value::object();
    out["ph"] = value::string("M");
    out["name"] = value::string(what);
    out["pid"] = value::number(process);
    out["tid"] = value::number(thread);
    out["args"]["name"] = value::string(name);
    return out;
}

value trace_record(const time_line_event& event, int process, int thread)
{
    auto out = value::object();
    out["ph"] = value::string("i");
    out["s"] = value::string("t");
    out["name"] = value::string(event.kind + " " + event.subject);
    out["cat"] = value::string(event.kind);
    out["ts"] = value::number(event.time.microseconds);
    out["pid"] = value::number(process);
    out["tid"] = value::number(thread);
    out["args"]["counter"] = value::number(event.time.counter);
    out["args"]["subject"] = value::string(event.subject);
    out["args"]["detail"] = value::string(event.detail);
    return out;
}

} // namespace

std::optional<events> parse_events(const value& body)
{
    std::vector<std::string> errors;
    base::object_reader reader(body, "timeline", errors);
    const auto* const items = reader.raw("events");
    events out;
    if (items == nullptr || !items->is_array())
        reader.report("events", "no array",
                      "call a daemon of the same release");
    else
        for (const auto& it : items->as_array())
            out.push_back(read_event(it, "event", errors));
    if (errors.empty())
        return out;
    return base::fail(base::error_kind::internal,
                      "the time line is malformed: " + errors.front(),
                      "use the same release of the daemon and this program");
}

events merge_events(std::span<const events> lists)
{
    events out;
    for (const auto& it : lists)
        std::copy(it.begin(), it.end(), std::back_inserter(out));
    std::sort(out.begin(), out.end(),
              [](const auto& left, const auto& right)
              {
                  return sort_key(left) < sort_key(right);
              });
    const auto end = std::unique(out.begin(), out.end(),
                                 [](const auto& left, const auto& right)
                                 {
                                     return sort_key(left) == sort_key(right);
                                 });
    out.erase(end, out.end());
    return out;
}

void print_text(std::ostream& out, std::span<const time_line_event> list)
{
    for (const auto& it : list)
        out << utc_time(it.time.microseconds) << '+' << it.time.counter << ' '
            << base::quote_value(it.process) << ' '
            << base::quote_value(it.kind) << ' '
            << base::quote_value(it.subject) << ' '
            << base::quote_value(it.detail) << '\n';
}

value to_json(std::span<const time_line_event> list)
{
    std::vector<value> items;
    for (const auto& it : list)
    {
        auto item = value::object();
        item["t"] = value::number(it.time.microseconds);
        item["c"] = value::number(it.time.counter);
        item["process"] = value::string(it.process);
        item["kind"] = value::string(it.kind);
        item["subject"] = value::string(it.subject);
        item["detail"] = value::string(it.detail);
        items.push_back(std::move(item));
    }
    auto out = value::object();
    out["events"] = value::array(std::move(items));
    return out;
}

value to_trace(std::span<const time_line_event> list)
{
    std::vector<value> records;
    name_numbers processes;
    name_numbers rows;
    for (const auto& it : list)
    {
        const auto [process, new_process] = processes.number(it.process);
        if (new_process)
            records.push_back(
                name_record("process_name", process, 0, it.process));
        const auto [row, new_row] = rows.number(it.process + '\n' + it.kind);
        if (new_row)
            records.push_back(
                name_record("thread_name", process, row, it.kind));
        records.push_back(trace_record(it, process, row));
    }
    auto out = value::object();
    out["displayTimeUnit"] = value::string("ms");
    out["traceEvents"] = value::array(std::move(records));
    return out;
}

} // namespace mustardwick::cli
