#include "mustardwick/ports/http_table.hpp"

#include <atomic>
#include <mutex>
#include <utility>

#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/json.hpp"

namespace mustardwick::ports
{

namespace json = web::json;
using base::error_kind;

namespace
{

/// cpprestsdk starts 40 threads by default, which exceeds the memory budget of
/// a daemon.
constexpr int client_threads = 4;
constexpr std::size_t max_answer_bytes = 32U << 20U;

json::value text(std::string_view value)
{
    return json::value::string(std::string(value));
}

json::value encode_checks(const std::vector<check>& checks)
{
    auto out = json::value::array(checks.size());
    for (std::size_t n = 0; n < checks.size(); ++n)
    {
        out[n]["key"] = text(checks[n].key);
        out[n]["version"] = json::value::number(checks[n].version);
    }
    return out;
}

json::value encode_transaction(const transaction& change)
{
    auto out = json::value::object();
    out["id"] = text(change.id);
    out["checks"] = encode_checks(change.checks);
    auto puts = json::value::array(change.puts.size());
    for (std::size_t n = 0; n < change.puts.size(); ++n)
    {
        puts[n]["key"] = text(change.puts[n].key);
        puts[n]["value"] = text(change.puts[n].value);
    }
    out["puts"] = puts;
    auto deletes = json::value::array(change.deletes.size());
    for (std::size_t n = 0; n < change.deletes.size(); ++n)
        deletes[n] = text(change.deletes[n]);
    out["deletes"] = deletes;
    return out;
}

std::vector<check> decode_conflicts(const json::value& value)
{
    std::vector<check> out;
    for (const auto& it : value.as_array())
        out.push_back({it.at("key").as_string(),
                       it.at("version").as_number().to_uint64()});
    return out;
}

row decode_row(const json::value& value)
{
    return {value.at("key").as_string(),
            value.at("version").as_number().to_uint64(),
            value.at("writer").as_string(), value.at("value").as_string()};
}

std::string
query_of(std::initializer_list<std::pair<const char*, std::string_view>> fields)
{
    web::uri_builder out("/v1/table/rows");
    for (const auto& [name, value] : fields)
        out.append_query(name, web::uri::encode_data_string(std::string(value)),
                         false);
    return out.to_string();
}

/// Returns the approximate bytes of the first line and the headers.
template <typename Message>
std::uint64_t size_of(const Message& message)
{
    constexpr std::uint64_t first_line_bytes = 20;
    constexpr std::uint64_t separator_bytes = 4;
    std::uint64_t out = first_line_bytes;
    for (const auto& [name, value] : message.headers())
        out += name.size() + value.size() + separator_bytes;
    return out;
}

std::nullopt_t unreachable(std::string_view reason)
{
    return base::fail(error_kind::unavailable,
                      "the table service does not answer: " +
                          std::string(reason),
                      "check the platform's table service");
}

} // namespace

struct http_table::impl
{
    impl(const wire::endpoint& where, std::chrono::milliseconds timeout)
        : client(web::uri("http://" + wire::to_string(where)), config(timeout))
    {
    }

    static web::http::client::http_client_config
    config(std::chrono::milliseconds timeout)
    {
        web::http::client::http_client_config out;
        out.set_timeout(timeout);
        return out;
    }

    std::optional<json::value> get(const std::string& target)
    {
        return exchange(web::http::methods::GET, target, {});
    }

    std::optional<json::value> exchange(const web::http::method& method,
                                        const std::string& target,
                                        const std::string& body);

    web::http::client::http_client client;
    std::atomic<std::uint64_t> bytes{0};
};

std::optional<json::value>
http_table::impl::exchange(const web::http::method& method,
                           const std::string& target, const std::string& body)
{
    try
    {
        web::http::http_request call(method);
        call.set_request_uri(target);
        if (!body.empty())
            call.set_body(body, "application/json");
        bytes += size_of(call) + target.size() + body.size();
        const auto answer = client.request(call).get();
        if (answer.status_code() != web::http::status_codes::OK)
            return unreachable("status " +
                               std::to_string(answer.status_code()));
        const auto text = answer.extract_utf8string(true).get();
        bytes += size_of(answer) + text.size();
        return base::parse_json(text, max_answer_bytes);
    }
    catch (const std::exception& ex)
    {
        return unreachable(ex.what());
    }
}

http_table::http_table(const wire::endpoint& where,
                       std::chrono::milliseconds timeout)
{
    static std::once_flag once;
    std::call_once(once,
                   []
                   {
                       crossplat::threadpool::initialize_with_threads(
                           client_threads);
                   });
    impl_ = std::make_unique<impl>(where, timeout);
}

http_table::~http_table() = default;

std::uint64_t http_table::bytes_transferred() const
{
    return impl_->bytes;
}

std::optional<row> http_table::read(std::string_view key)
{
    const auto answer = impl_->get(query_of({{"key", key}}));
    if (!answer)
        return std::nullopt;
    try
    {
        const auto& rows = answer->at("rows").as_array();
        if (rows.size() == 0)
            return row{std::string(key), 0, {}, {}};
        return decode_row(rows.at(0));
    }
    catch (const json::json_exception& ex)
    {
        return unreachable(ex.what());
    }
}

std::optional<row_page> http_table::scan(std::string_view prefix,
                                         std::string_view after)
{
    const auto answer =
        impl_->get(query_of({{"prefix", prefix}, {"after", after}}));
    if (!answer)
        return std::nullopt;
    try
    {
        row_page out;
        for (const auto& it : answer->at("rows").as_array())
            out.rows.push_back(decode_row(it));
        out.next = answer->at("next").as_string();
        return out;
    }
    catch (const json::json_exception& ex)
    {
        return unreachable(ex.what());
    }
}

commit_result http_table::commit(const transaction& change)
{
    const auto body = encode_transaction(change).serialize();
    const auto answer =
        impl_->exchange(web::http::methods::POST, "/v1/table/commit", body);
    if (!answer)
        return {};
    try
    {
        if (answer->at("committed").as_bool())
            return {commit_state::committed,
                    answer->at("revision").as_number().to_uint64(),
                    {}};
        return {commit_state::conflict, 0,
                decode_conflicts(answer->at("conflicts"))};
    }
    catch (const json::json_exception&)
    {
        return {};
    }
}

std::optional<std::set<std::string>> http_table::list_leaving_hosts()
{
    // Only leaving hosts are requested: the whole list of the largest cell,
    // polled every few seconds, would exceed the budget for control traffic.
    const auto answer = impl_->get("/v1/hosts?state=leaving");
    if (!answer)
        return std::nullopt;
    try
    {
        std::set<std::string> out;
        for (const auto& it : answer->at("hosts").as_array())
        {
            if (it.at("state").as_string() == "leaving")
                out.insert(it.at("name").as_string());
        }
        return out;
    }
    catch (const json::json_exception& ex)
    {
        return unreachable(ex.what());
    }
}

} // namespace mustardwick::ports
