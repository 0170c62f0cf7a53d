#include "testing/scenario/recorder.hpp"

#include <chrono>
#include <utility>

namespace mustardwick::testing
{

bool recorder::open(const std::string& directory)
{
    return calls_.open(directory + "/calls.jsonl") &&
           facts_.open(directory + "/facts.jsonl");
}

void recorder::fact(std::string_view kind, std::string_view name,
                    json_object more)
{
    more.text("fact", kind).text("name", name);
    facts_.write(clock_.now(), std::move(more));
}

void recorder::call(json_object line)
{
    line.text("call", "request");
    calls_.write(clock_.now(), std::move(line));
}

std::int64_t recorder::now() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               clock_.wall().time_since_epoch())
        .count();
}

} // namespace mustardwick::testing
