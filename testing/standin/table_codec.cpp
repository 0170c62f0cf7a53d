#include "testing/standin/table_codec.hpp"

#include <limits>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"
#include "testing/standin/json_response.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr std::size_t max_transaction_bytes = 8U << 20U;

template <typename Function>
void for_each_object(base::object_reader& body, const char* name,
                     std::vector<std::string>& errors, Function&& read)
{
    const auto* list = body.raw(name);
    if (list == nullptr)
        return;
    if (!list->is_array())
        return body.report(name, "no array", "give an array of objects");
    for (const auto& it : list->as_array())
    {
        base::object_reader item(it, name, errors);
        read(item);
        item.finish();
    }
}

} // namespace

std::optional<ports::transaction>
parse_transaction(std::string_view body, std::vector<std::string>& errors)
{
    const auto value = base::parse_json(body, max_transaction_bytes);
    if (!value)
    {
        errors.push_back(base::last_error().text());
        return std::nullopt;
    }
    ports::transaction out;
    base::object_reader reader(*value, "", errors);
    out.id = reader.required_text("id");
    for_each_object(
        reader, "checks", errors,
        [&out](base::object_reader& it)
        {
            const auto key = it.required_text("key");
            const auto version = it.number(
                "version", 0, 0, std::numeric_limits<std::int64_t>::max());
            out.checks.push_back({key, static_cast<std::uint64_t>(version)});
        });
    for_each_object(reader, "puts", errors,
                    [&out](base::object_reader& it)
                    {
                        const auto key = it.required_text("key");
                        out.puts.push_back({key, it.text("value", "")});
                    });
    out.deletes = reader.texts("deletes");
    reader.finish();
    if (!errors.empty())
        return std::nullopt;
    return out;
}

web::json::value to_json(const ports::row& value)
{
    return json_object()
        .text("key", value.key)
        .number("version", static_cast<std::int64_t>(value.version))
        .text("writer", value.writer)
        .text("value", value.value)
        .value();
}

web::json::value to_json(const ports::check& value)
{
    return json_object()
        .text("key", value.key)
        .number("version", static_cast<std::int64_t>(value.version))
        .value();
}

} // namespace mustardwick::testing
