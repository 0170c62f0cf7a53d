#include "mustardwick/cli/time_line_merge.hpp"

#include <algorithm>
#include <array>
#include <sstream>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "mustardwick/base/json.hpp"

using namespace mustardwick;
using namespace mustardwick::cli;

namespace
{

base::time_line_event event(std::int64_t t, std::uint32_t c,
                            const char* process, const char* subject = "j")
{
    return {{t, c}, process, "start", subject, "on w-1"};
}

/// Events with few distinct values, so that ties and duplicates are common.
rc::Gen<events> event_lists()
{
    return rc::gen::container<events>(rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 3),
                       rc::gen::element("a", "b")),
        [](const auto& it)
        {
            return event(std::get<0>(it),
                         static_cast<std::uint32_t>(std::get<1>(it)),
                         std::get<2>(it));
        }));
}

bool is_before(const base::time_line_event& left,
               const base::time_line_event& right)
{
    return left.time != right.time ? left.time < right.time
                                   : left.process < right.process;
}

} // namespace

// Guards against events that are shown before the events that caused them.
Test(time_line_merge, orders_by_time_counter_and_process)
{
    const std::array<events, 2> lists = {
        events{event(5, 0, "a"), event(5, 2, "a"), event(9, 0, "a")},
        events{event(5, 1, "b"), event(5, 2, "b"), event(5, 0, "a")}};
    const auto out = merge_events(lists);
    const events expected = {event(5, 0, "a"), event(5, 1, "b"),
                             event(5, 2, "a"), event(5, 2, "b"),
                             event(9, 0, "a")};
    cr_assert_eq(out.size(), expected.size());
    for (std::size_t n = 0; n < out.size(); ++n)
    {
        cr_assert(out[n].time == expected[n].time, "event %zu", n);
        cr_assert_eq(out[n].process, expected[n].process, "event %zu", n);
    }
}

// Guards against lost, duplicate or misplaced events for arbitrary input.
Test(time_line_merge, holds_each_event_once_in_order)
{
    const bool ok =
        rc::check("merging sorts and keeps every event",
                  []
                  {
                      const std::array<events, 2> lists = {*event_lists(),
                                                           *event_lists()};
                      const auto out = merge_events(lists);
                      for (std::size_t n = 1; n < out.size(); ++n)
                          RC_ASSERT(is_before(out[n - 1], out[n]));
                      for (const auto& list : lists)
                          for (const auto& it : list)
                              RC_ASSERT(std::binary_search(
                                  out.begin(), out.end(), it, is_before));
                  });
    cr_assert(ok);
}

// Guards against a line break in an event's text that splits its line.
Test(time_line_merge, prints_one_line_for_each_event)
{
    const events list = {event(1'700'000'000'000'042, 3, "d1", "a\nb")};
    std::ostringstream out;
    print_text(out, list);
    cr_assert_eq(out.str(), "2023-11-14T22:13:20.000042Z+3 d1 start \"a\\nb\" "
                            "\"on w-1\"\n");
}

// Guards against a trace that viewers reject or show as a single thread.
Test(time_line_merge, writes_trace_events)
{
    const events list = {event(7, 1, "d1"), event(8, 0, "d2"),
                         event(9, 0, "d1")};
    const auto trace = to_trace(list);
    const auto& records = trace.at("traceEvents").as_array();
    int names = 0;
    std::vector<int> processes;
    for (const auto& it : records)
    {
        const auto phase = it.at("ph").as_string();
        names += phase == "M" && it.at("name").as_string() == "process_name";
        if (phase == "i")
            processes.push_back(it.at("pid").as_integer());
    }
    cr_assert_eq(names, 2);
    const std::vector<int> expected = {1, 2, 1};
    cr_assert(processes == expected);
    const auto& first = *(records.begin() + 2);
    cr_assert_eq(first.at("ts").as_number().to_int64(), 7);
    cr_assert_eq(first.at("name").as_string(), "start j");
}

// Guards against fields that are lost when events are written as JSON.
Test(time_line_merge, reads_its_own_json)
{
    const events list = {event(7, 1, "d1"), event(8, 0, "d2", "ü")};
    const auto out = parse_events(to_json(list));
    cr_assert(out.has_value());
    cr_assert_eq(to_json(*out).serialize(), to_json(list).serialize());
}

// Guards against a crash on the answer of a server that is not a daemon.
Test(time_line_merge, refuses_malformed_time_lines)
{
    for (const char* text :
         {"[]", "{}", R"({"events":3})", R"({"events":[{"t":"x"}]})"})
        cr_assert_not(parse_events(*base::parse_json(text)), "%s", text);
}
