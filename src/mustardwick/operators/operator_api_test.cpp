#include "mustardwick/operators/operator_api.hpp"

#include <functional>
#include <tuple>
#include <utility>

#include <criterion/criterion.h>

#include "mustardwick/base/json.hpp"
#include "testing/standin/fake_table.hpp"

using namespace mustardwick;

namespace
{

namespace json = web::json;

/// Table that runs an action, such as a change by another operator, before the
/// next scan of a prefix.
class interrupted_table
{
public:
    explicit interrupted_table(testing::table_state& state) : table_(state) {}

    void before_scan(std::string prefix, std::function<void()> action)
    {
        prefix_ = std::move(prefix);
        action_ = std::move(action);
    }

    std::optional<ports::row> read(std::string_view key)
    {
        return table_.read(key);
    }

    std::optional<ports::row_page> scan(std::string_view prefix,
                                        std::string_view after)
    {
        if (prefix == prefix_ && action_)
            std::exchange(action_, nullptr)();
        return table_.scan(prefix, after);
    }

    ports::commit_result commit(const ports::transaction& change)
    {
        return table_.commit(change);
    }

    testing::fake_table& faults()
    {
        return table_;
    }

private:
    testing::fake_table table_;
    std::string prefix_;
    std::function<void()> action_;
};

/// The operator API of one daemon; several daemons may share a table.
struct daemon_fixture
{
    explicit daemon_fixture(testing::table_state& state) : table(state) {}

    interrupted_table table;
    base::manual_clock clock;
    coordination::change_freeze freeze{clock};
    coordination::config_store config{ports::table(table), clock,
                                      std::chrono::milliseconds{3000}, freeze};
    base::time_line events{clock, "entry-1"};
    operators::operator_api api{{config, events,
                                 [](auto, const auto&)
                                 {
                                     return json::value::object();
                                 }}};

    http::response call(const std::string& method, const std::string& path,
                        const std::string& body = {})
    {
        http::request out;
        out.method = method;
        out.body = body;
        cr_assert(http::parse_target(path, out));
        return api.handle(out);
    }
};

std::uint64_t number(const http::response& answer, const char* field)
{
    const auto body = base::parse_json(answer.body);
    cr_assert(body && body->has_field(field), "%s", answer.body.c_str());
    return body->at(field).as_number().to_uint64();
}

std::string put(std::uint64_t version, const std::string& desired)
{
    return R"({"version": )" + std::to_string(version) + R"(, "desired": )" +
           desired + '}';
}

std::size_t changes_in(const http::response& answer)
{
    cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
    return json::value::parse(answer.body).at("changes").size();
}

std::string watch_path(std::uint64_t version)
{
    return "/v1/resources/teams?watch=" + std::to_string(version) +
           "&wait_ms=0";
}

bool body_contains(const http::response& answer, std::string_view text)
{
    return answer.body.find(text) != std::string::npos;
}

const std::string team_path = "/v1/resources/teams/bookings";
const std::string key_path = "/v1/resources/keys/till-3";

} // namespace

// Guards against overwriting a newer version that the operator has not read.
Test(operator_api, writes_check_the_version)
{
    testing::table_state state;
    daemon_fixture daemon(state);
    const auto created_resource =
        daemon.call("POST", team_path, R"({"desired": {}})");
    cr_assert_eq(created_resource.status, 201, "%s",
                 created_resource.body.c_str());
    const auto first = number(created_resource, "version");
    struct step
    {
        std::string method;
        std::string path;
        std::string body;
        int status;
        std::uint64_t current;
    };
    const auto wrong = first + 7;
    const std::vector<step> steps = {
        {"POST", team_path, R"({"desired": {}})", 409, first},
        {"PUT", team_path, put(wrong, "{}"), 409, first},
        {"PUT", team_path, put(first, R"({"share": 2})"), 200, 0},
        {"PUT", team_path, put(first, R"({"share": 3})"), 409, first + 1},
        {"DELETE", team_path + "?version=" + std::to_string(first), "", 409,
         first + 1},
        {"DELETE", team_path, "", 400, 0},
        {"DELETE", team_path + "?version=" + std::to_string(first + 1), "", 200,
         0},
        {"PUT", team_path, put(first + 1, "{}"), 409, 0},
        {"GET", team_path, "", 404, 0},
    };
    for (const auto& it : steps)
    {
        const auto answer = daemon.call(it.method, it.path, it.body);
        cr_expect_eq(answer.status, it.status, "%s %s: %d %s",
                     it.method.c_str(), it.body.c_str(), answer.status,
                     answer.body.c_str());
        if (it.status == 409)
            cr_expect_eq(number(answer, "current_version"), it.current);
    }
}

// Guards against writing back the output of GET for a key, which omits salt and
// hash and would disable the key.
Test(operator_api, rejects_keys_written_as_resources)
{
    testing::table_state state;
    daemon_fixture daemon(state);
    const auto granted = daemon.call("POST", "/v1/keys",
                                     R"({"name": "till-3", "team": "sales"})");
    cr_assert_eq(granted.status, 201);
    const auto before = daemon.config.current()->keys.at("till-3");
    const auto shown =
        json::value::parse(daemon.call("GET", key_path).body).at("desired");
    const auto version = number(granted, "version");
    const std::string created = R"({"desired": )" + shown.serialize() + '}';
    for (const auto& [method, path, body] :
         {std::tuple{"PUT", key_path, put(version, shown.serialize())},
          {"POST", key_path + "4", created}})
    {
        const auto answer = daemon.call(method, path, body);
        cr_expect_eq(answer.status, 400, "%s gives %d", method, answer.status);
        cr_expect(body_contains(answer, "POST /v1/keys"));
        cr_expect(body_contains(answer, "DELETE /v1/keys/NAME"));
    }
    daemon.config.refresh();
    const auto& keys = daemon.config.current()->keys;
    cr_assert_eq(keys.size(), 1U);
    cr_expect_eq(keys.at("till-3").hash, before.hash);
    cr_expect_eq(keys.at("till-3").salt, before.salt);
}

// Guards against disclosing secrets, salts or hashes, and against replacing a
// withdrawn key by granting its name again.
Test(operator_api, withdraws_keys_and_hides_their_hashes)
{
    testing::table_state state;
    daemon_fixture daemon(state);
    const std::string grant = R"({"name": "till-3", "team": "sales"})";
    cr_assert_eq(daemon.call("POST", "/v1/keys", grant).status, 201);
    const auto hash = daemon.config.current()->keys.at("till-3").hash;
    for (const auto& path :
         {key_path, std::string("/v1/resources/keys"),
          std::string("/v1/resources/keys?watch=0&wait_ms=0")})
    {
        const auto answer = daemon.call("GET", path);
        cr_expect(body_contains(answer, "till-3"));
        cr_expect_not(body_contains(answer, "salt") ||
                          body_contains(answer, hash),
                      "%s", path.c_str());
    }
    cr_expect_eq(daemon.call("DELETE", "/v1/keys/till-3").status, 200);
    cr_expect(daemon.config.current()->keys.at("till-3").withdrawn);
    cr_expect_eq(daemon.call("POST", "/v1/keys", grant).status, 409);
    cr_expect_eq(daemon.call("DELETE", "/v1/keys/till-4").status, 404);
}

// Guards against a watch that misses changes, including those made through
// other daemons, or returns changes of other kinds.
Test(operator_api, watch_returns_changes_after_a_version)
{
    testing::table_state state;
    daemon_fixture daemon(state);
    daemon_fixture other(state);
    const auto created_resource =
        daemon.call("POST", team_path, R"({"desired": {}})");
    const auto from = number(created_resource, "version");
    cr_expect_eq(changes_in(daemon.call("GET", watch_path(from))), 0U);
    other.call("PUT", team_path, put(from, R"({"share": 5})"));
    other.call("POST", "/v1/resources/queues/q", R"({"desired": {}})");
    other.call("DELETE", team_path + "?version=" + std::to_string(from + 1));
    daemon.config.refresh();
    const auto seen = daemon.call("GET", watch_path(from));
    cr_assert_eq(changes_in(seen), 2U, "%s", seen.body.c_str());
    const auto items = json::value::parse(seen.body).at("changes");
    cr_expect_eq(items.at(0).at("operation").as_string(), "put");
    cr_expect_eq(items.at(1).at("operation").as_string(), "delete");
    cr_expect_eq(number(seen, "version"), from + 3);
    cr_expect_eq(changes_in(daemon.call("GET", watch_path(from + 3))), 0U);
    cr_expect_eq(daemon.call("GET", watch_path(from) + "x").status, 400);
}

// Guards against a gap between a list and the watch that continues from it: a
// change committed while the list is read must appear in one of them.
Test(operator_api, list_then_watch_misses_nothing)
{
    testing::table_state state;
    daemon_fixture daemon(state);
    daemon_fixture other(state);
    daemon.table.before_scan("config/teams/",
                             [&]
                             {
                                 other.call("POST", team_path,
                                            R"({"desired": {}})");
                             });
    const auto listed = daemon.call("GET", "/v1/resources/teams");
    cr_assert_eq(listed.status, 200);
    daemon.config.refresh();
    const auto version = number(listed, "version");
    cr_expect_eq(changes_in(daemon.call("GET", watch_path(version))), 1U);
}

// Guards against reporting no changes when the log no longer reaches back to
// the version of the watch.
Test(operator_api, rejects_watch_from_a_truncated_version)
{
    testing::table_state state;
    daemon_fixture daemon(state);
    auto version =
        number(daemon.call("POST", team_path, R"({"desired": {}})"), "version");
    const auto first = version;
    constexpr int changes_beyond_log_limit = 4200;
    for (int n = 0; n < changes_beyond_log_limit; ++n)
        version = number(daemon.call("PUT", team_path, put(version, "{}")),
                         "version");
    cr_expect_eq(daemon.call("GET", watch_path(first)).status, 410);
    cr_expect_eq(changes_in(daemon.call("GET", watch_path(version - 1))), 1U);
}

// Guards against reporting a change as refused although it may have been
// applied, and against applying it twice after a lost answer.
Test(operator_api, reports_outcomes_when_the_table_fails)
{
    testing::table_state state;
    daemon_fixture daemon(state);
    daemon.table.faults().lose_answers(1);
    const auto created_resource =
        daemon.call("POST", team_path, R"({"desired": {}})");
    cr_expect_eq(created_resource.status, 201, "%s",
                 created_resource.body.c_str());
    cr_expect_eq(daemon.config.current()->version, 1U);
    daemon.table.faults().set_down(true);
    const auto refused = daemon.call(
        "PUT", team_path, put(number(created_resource, "version"), "{}"));
    cr_expect_eq(refused.status, 503, "%s", refused.body.c_str());
    cr_expect_eq(daemon.call("GET", team_path).status, 503);
}

// Guards against accepting invalid paths or bodies, even in part.
Test(operator_api, rejects_invalid_paths_and_bodies)
{
    testing::table_state state;
    daemon_fixture daemon(state);
    struct invalid_call
    {
        const char* method;
        const char* path;
        const char* body;
        int status;
        const char* expected_text;
    };
    const std::vector<invalid_call> calls = {
        {"GET", "/v1/planets", "", 404, "/v1/planets"},
        {"GET", "/v1/resources/planets", "", 404, "planets"},
        {"POST", "/v1/resources/teams", "{}", 400, "name"},
        {"POST", "/v1/resources/teams/a%20b", "{}", 400, "a b"},
        {"PATCH", "/v1/resources/teams/a", "{}", 400, "PATCH"},
        {"POST", "/v1/resources/teams/a", "{", 400, "JSON"},
        {"POST", "/v1/resources/teams/a", "{}", 400, "desired"},
        {"PUT", "/v1/resources/teams/a", R"({"version": 0, "desired": {}})",
         400, "version"},
        {"POST", "/v1/resources/teams/a", R"({"desired": {"share": 0}})", 400,
         "desired.share"},
        {"POST", "/v1/resources/teams/a", R"({"desired": {}, "colour": 1})",
         400, "colour"},
        {"POST", "/v1/keys", R"({"name": "a.b", "team": "t"})", 400, "a.b"},
        {"POST", "/v1/keys", R"({"name": "a"})", 400, "team"},
    };
    for (const auto& it : calls)
    {
        const auto answer = daemon.call(it.method, it.path, it.body);
        cr_expect_eq(answer.status, it.status, "%s %s %s gives %d", it.method,
                     it.path, it.body, answer.status);
        cr_expect(body_contains(answer, it.expected_text), "%s",
                  answer.body.c_str());
    }
    cr_expect_eq(daemon.config.current()->version, 0U);
}
