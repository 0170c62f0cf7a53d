#include "mustardwick/cli/resource_file.hpp"

#include <limits>
#include <string>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"

namespace mustardwick::cli
{

namespace
{

using base::object_reader;
using problems = std::vector<std::string>;

constexpr std::size_t max_file_bytes = 16U << 20U;

std::string read_kind(object_reader& reader)
{
    auto text = reader.required_text("kind");
    if (text.empty())
        return text;
    const auto kind = parse_kind(text);
    if (!kind)
        reader.report("kind", text, base::last_error().remedy);
    // Daemons never return the hash of a key, so writing a key back would
    // erase it.
    if (kind == "keys")
        reader.report("kind", text, "use grant-key and withdraw-key");
    return kind.value_or(text);
}

declared_resource read_resource(const web::json::value& value,
                                const std::string& path, problems& errors)
{
    declared_resource out;
    object_reader reader(value, path, errors);
    out.id.kind = read_kind(reader);
    out.id.name = reader.required_text("name");
    const auto* const desired = reader.raw("desired");
    if (desired != nullptr && desired->is_object())
        out.desired = *desired;
    else
        reader.report("desired", "no object", "give the desired fields");
    if (reader.raw("version") != nullptr)
        out.version = reader.number("version", 0, 0,
                                    std::numeric_limits<std::int64_t>::max());
    // Accepted so that the output of get can be applied; only the daemon writes
    // the observed state.
    reader.raw("observed");
    reader.finish();
    return out;
}

std::string joined(const problems& errors)
{
    std::string out;
    for (const auto& it : errors)
        out += (out.empty() ? "" : " | ") + it;
    return out;
}

} // namespace

std::optional<std::vector<declared_resource>>
parse_resources(std::string_view text)
{
    const auto value = base::parse_json(text, max_file_bytes);
    if (!value)
        return std::nullopt;
    problems errors;
    std::vector<declared_resource> out;
    if (value->is_array())
        for (std::size_t n = 0; n < value->size(); ++n)
            out.push_back(read_resource(value->at(n),
                                        "[" + std::to_string(n) + "]", errors));
    else
        out.push_back(read_resource(*value, "resource", errors));
    if (errors.empty())
        return out;
    return base::fail(base::error_kind::invalid_input, joined(errors),
                      "correct the file; nothing was applied");
}

} // namespace mustardwick::cli
