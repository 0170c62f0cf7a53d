#include "testing/standin/platform_service.hpp"

#include <charconv>
#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"
#include "testing/standin/counter.hpp"
#include "testing/standin/json_response.hpp"
#include "testing/standin/table_codec.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr std::string_view objects_prefix = "/v1/objects/";
constexpr std::int64_t max_delay_ms = 600'000;
constexpr std::int64_t max_lost_answers = 1'000'000;

http::response unavailable_response()
{
    return make_error_response(503, "unavailable", "the store is down");
}

/// Simulates a lost response: the reply does not say whether the commit took
/// effect.
http::response lost_commit_response()
{
    http::response out;
    out.status = 504;
    return out;
}

std::size_t page_limit(const http::request& call)
{
    std::size_t limit = table_state::default_page_rows;
    const auto text = call.parameter("limit");
    std::from_chars(text.data(), text.data() + text.size(), limit);
    const bool allowed = limit > 0 && limit <= table_state::default_page_rows;
    return allowed ? limit : table_state::default_page_rows;
}

void apply_faults(platform_faults& faults, base::object_reader& reader)
{
    faults.down = reader.flag("down", faults.down);
    faults.read_only = reader.flag("read_only", faults.read_only);
    faults.delay_ms = static_cast<int>(
        reader.number("delay_ms", faults.delay_ms, 0, max_delay_ms));
    faults.lose_answers = static_cast<int>(reader.number(
        "lose_answers", faults.lose_answers, 0, max_lost_answers));
}

} // namespace

std::size_t platform_service::add_port()
{
    ports_.push_back(std::make_unique<port_entry>());
    return ports_.size() - 1;
}

void platform_service::bind_port(std::size_t index, std::uint16_t port)
{
    ports_[index]->port = port;
}

http::response platform_service::handle(std::size_t index,
                                        const http::request& call)
{
    if (call.path == "/v1/faults" && call.method == "POST")
        return set_faults(call);
    if (call.path == "/v1/stats")
        return statistics();
    if (call.path == "/healthz")
        return json_response(json_object().flag("ok", true));
    if (call.path == "/v1/hosts" && call.method == "PUT")
        return put_hosts(call);
    auto& faults = ports_[index]->faults;
    if (faults.delay_ms > 0)
        sleeper_.sleep(std::chrono::milliseconds(faults.delay_ms));
    if (faults.down)
        return unavailable_response();
    return handle_data(faults, call);
}

http::response platform_service::handle_data(platform_faults& faults,
                                             const http::request& call)
{
    if (call.path == "/v1/table/commit" && call.method == "POST")
        return commit(faults, call);
    if (call.path == "/v1/table/rows" && call.method == "GET")
        return rows(call);
    if (call.path == "/v1/hosts" && call.method == "GET")
        return get_hosts();
    if (call.path.starts_with(objects_prefix))
        return faults.read_only && call.method != "GET" ? unavailable_response()
                                                        : handle_object(call);
    return make_error_response(404, "not_found", "no such path: " + call.path);
}

http::response platform_service::commit(platform_faults& faults,
                                        const http::request& call)
{
    if (faults.read_only)
        return unavailable_response();
    std::vector<std::string> errors;
    const auto change = parse_transaction(call.body, errors);
    if (!change)
        return invalid_input_response(errors);
    const auto result = table_.commit(*change);
    if (decrement_if_positive(faults.lose_answers))
        return lost_commit_response();
    const bool committed = result.state == ports::commit_state::committed;
    json_object body;
    body.flag("committed", committed);
    if (committed)
        body.number("revision", static_cast<std::int64_t>(result.revision));
    else
        body.set("conflicts", json_array(result.conflicts,
                                         [](const ports::check& it)
                                         {
                                             return to_json(it);
                                         }));
    return json_response(body);
}

http::response platform_service::rows(const http::request& call)
{
    ports::row_page page;
    if (call.query.contains("key"))
    {
        auto row = table_.read(call.parameter("key"));
        if (row.version > 0)
            page.rows.push_back(std::move(row));
    }
    else
    {
        page = table_.scan(call.parameter("prefix"), call.parameter("after"),
                           page_limit(call));
    }
    json_object body;
    body.set("rows", json_array(page.rows,
                                [](const ports::row& it)
                                {
                                    return to_json(it);
                                }));
    body.text("next", page.next);
    return json_response(body);
}

http::response platform_service::get_hosts()
{
    json_object body;
    body.set("hosts", json_array(hosts_.visible(),
                                 [](const listed_host& it)
                                 {
                                     return json_object()
                                         .text("name", it.name)
                                         .text("state", it.state)
                                         .value();
                                 }));
    return json_response(body);
}

http::response platform_service::put_hosts(const http::request& call)
{
    const auto value = base::parse_json(call.body);
    if (!value || !value->is_object() || !value->has_array_field("hosts"))
        return make_error_response(400, "invalid_input",
                                   "give {\"hosts\":[...]}");
    std::vector<std::string> errors;
    std::vector<listed_host> hosts;
    for (const auto& it : value->at("hosts").as_array())
    {
        base::object_reader item(it, "hosts", errors);
        const auto name = item.required_text("name");
        hosts.push_back({name, item.text("state", "live")});
    }
    if (!errors.empty())
        return invalid_input_response(errors);
    hosts_.set(std::move(hosts));
    return json_response(json_object().flag("accepted", true));
}

http::response platform_service::handle_object(const http::request& call)
{
    const auto name = call.path.substr(objects_prefix.size());
    const std::scoped_lock lock(object_mutex_);
    if (call.method == "PUT")
        objects_[name] = call.body;
    else if (call.method == "DELETE")
        objects_.erase(name);
    else if (!objects_.contains(name))
        return make_error_response(404, "not_found", "no such object: " + name);
    http::response out;
    if (call.method == "GET")
        out.body = objects_[name];
    return out;
}

http::response platform_service::set_faults(const http::request& call)
{
    const auto value = base::parse_json(call.body);
    if (!value)
        return make_error_response(400, "invalid_input",
                                   base::last_error().text());
    std::vector<std::string> errors;
    base::object_reader reader(*value, "", errors);
    const auto port = reader.number("port", 0, 0, 65535);
    bool found = false;
    for (auto& it : ports_)
    {
        if (port != 0 && it->port != port)
            continue;
        found = true;
        apply_faults(it->faults, reader);
    }
    reader.finish();
    if (!found)
        reader.report("port", std::to_string(port), "give a port of this one");
    if (!errors.empty())
        return invalid_input_response(errors);
    return json_response(json_object().flag("accepted", true));
}

http::response platform_service::statistics() const
{
    const auto now = table_.statistics();
    return json_response(
        json_object()
            .number("reads", static_cast<std::int64_t>(now.reads))
            .number("commits", static_cast<std::int64_t>(now.commits))
            .number("conflicts", static_cast<std::int64_t>(now.conflicts))
            .number("rows", static_cast<std::int64_t>(now.rows)));
}

} // namespace mustardwick::testing
