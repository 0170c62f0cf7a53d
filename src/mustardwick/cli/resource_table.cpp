#include "mustardwick/cli/resource_table.hpp"

#include <map>
#include <vector>

#include "mustardwick/cli/report.hpp"

namespace mustardwick::cli
{

namespace
{

using names = std::vector<std::string>;

const names& desired_fields(std::string_view kind)
{
    static const std::map<std::string, names, std::less<>> fields = {
        {"queues", {"team", "kind"}},
        {"teams",
         {"share", "limit_millicpus", "limit_memory_mb", "limit_accelerators",
          "limit_requests"}},
        {"keys", {"team", "withdrawn"}},
        {"hosts",
         {"address", "worker", "failure_domain", "rack", "millicpus",
          "memory_mb", "accelerators", "slots", "connections", "in_service"}},
        {"failure-domains", {"in_service", "region"}},
    };
    static const names none;
    const auto it = fields.find(kind);
    return it == fields.end() ? none : it->second;
}

std::string heading_of(std::string name)
{
    for (auto& it : name)
        it = it == '_' ? ' ' : static_cast<char>(std::toupper(it));
    return name;
}

table_row make_row(const names& fields, const web::json::value& item)
{
    table_row out = {text_of(item, "name"),
                     cell_of(member_of(item, "version"))};
    const auto desired = member_of(item, "desired");
    for (const auto& it : fields)
        out.push_back(cell_of(member_of(desired, it)));
    out.push_back(pairs_of(member_of(item, "observed")));
    return out;
}

} // namespace

std::string cell_of(const web::json::value& value)
{
    if (value.is_null())
        return "";
    return value.is_string() ? value.as_string() : value.serialize();
}

std::string pairs_of(const web::json::value& object)
{
    std::string out;
    if (!object.is_object())
        return out;
    for (const auto& [name, value] : object.as_object())
    {
        out += out.empty() ? "" : " ";
        out += name;
        out += "=" + cell_of(value);
    }
    return out;
}

table make_resource_table(std::string_view kind, const web::json::value& items)
{
    const auto& fields = desired_fields(kind);
    table out;
    out.headings = {"NAME", "VERSION"};
    for (const auto& it : fields)
        out.headings.push_back(heading_of(it));
    out.headings.emplace_back("OBSERVED");
    if (items.is_array())
        for (const auto& it : items.as_array())
            out.rows.push_back(make_row(fields, it));
    return out;
}

} // namespace mustardwick::cli
