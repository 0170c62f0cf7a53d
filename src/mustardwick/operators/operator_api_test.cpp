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

/// Table access that lets another operator act during the next scan of a
/// prefix.
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

/// The operator interface of one daemon; several may share a table.
struct daemon_side
{
    explicit daemon_side(testing::table_state& state) : table(state) {}

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

bool names(const http::response& answer, std::string_view text)
{
    return answer.body.find(text) != std::string::npos;
}

const std::string team_path = "/v1/resources/teams/bookings";
const std::string key_path = "/v1/resources/keys/till-3";

} // namespace

// Guards against a change that overwrites one its operator has not seen.
Test(operator_api, create_replace_and_delete_check_the_version)
{
    testing::table_state state;
    daemon_side side(state);
    const auto made = side.call("POST", team_path, R"({"desired": {}})");
    cr_assert_eq(made.status, 201, "%s", made.body.c_str());
    const auto first = number(made, "version");
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
        const auto answer = side.call(it.method, it.path, it.body);
        cr_expect_eq(answer.status, it.status, "%s %s: %d %s",
                     it.method.c_str(), it.body.c_str(), answer.status,
                     answer.body.c_str());
        if (it.status == 409)
            cr_expect_eq(number(answer, "current_version"), it.current);
    }
}

// Guards against a PUT of what GET shows, which has neither salt nor hash and
// would disable the key.
Test(operator_api, keys_are_not_written_as_resources)
{
    testing::table_state state;
    daemon_side side(state);
    const auto granted =
        side.call("POST", "/v1/keys", R"({"name": "till-3", "team": "sales"})");
    cr_assert_eq(granted.status, 201);
    const auto before = side.config.current()->keys.at("till-3");
    const auto shown =
        json::value::parse(side.call("GET", key_path).body).at("desired");
    const auto version = number(granted, "version");
    const std::string created = R"({"desired": )" + shown.serialize() + '}';
    for (const auto& [method, path, body] :
         {std::tuple{"PUT", key_path, put(version, shown.serialize())},
          {"POST", key_path + "4", created}})
    {
        const auto answer = side.call(method, path, body);
        cr_expect_eq(answer.status, 400, "%s gives %d", method, answer.status);
        cr_expect(names(answer, "POST /v1/keys"));
        cr_expect(names(answer, "DELETE /v1/keys/NAME"));
    }
    side.config.refresh();
    const auto& keys = side.config.current()->keys;
    cr_assert_eq(keys.size(), 1U);
    cr_expect_eq(keys.at("till-3").hash, before.hash);
    cr_expect_eq(keys.at("till-3").salt, before.salt);
}

// Guards against secrets, salts or hashes that leave the system, and against a
// withdrawn key that can be replaced by a second grant of its name.
Test(operator_api, withdraws_keys_and_hides_their_hashes)
{
    testing::table_state state;
    daemon_side side(state);
    const std::string grant = R"({"name": "till-3", "team": "sales"})";
    cr_assert_eq(side.call("POST", "/v1/keys", grant).status, 201);
    const auto hash = side.config.current()->keys.at("till-3").hash;
    for (const auto& path :
         {key_path, std::string("/v1/resources/keys"),
          std::string("/v1/resources/keys?watch=0&wait_ms=0")})
    {
        const auto answer = side.call("GET", path);
        cr_expect(names(answer, "till-3"));
        cr_expect_not(names(answer, "salt") || names(answer, hash), "%s",
                      path.c_str());
    }
    cr_expect_eq(side.call("DELETE", "/v1/keys/till-3").status, 200);
    cr_expect(side.config.current()->keys.at("till-3").withdrawn);
    cr_expect_eq(side.call("POST", "/v1/keys", grant).status, 409);
    cr_expect_eq(side.call("DELETE", "/v1/keys/till-4").status, 404);
}

// Guards against a watch that leaves out changes, also those of operators at
// other daemons, or gives changes of other kinds.
Test(operator_api, watch_gives_the_changes_after_a_version)
{
    testing::table_state state;
    daemon_side side(state);
    daemon_side other(state);
    const auto made = side.call("POST", team_path, R"({"desired": {}})");
    const auto from = number(made, "version");
    cr_expect_eq(changes_in(side.call("GET", watch_path(from))), 0U);
    other.call("PUT", team_path, put(from, R"({"share": 5})"));
    other.call("POST", "/v1/resources/queues/q", R"({"desired": {}})");
    other.call("DELETE", team_path + "?version=" + std::to_string(from + 1));
    side.config.refresh();
    const auto seen = side.call("GET", watch_path(from));
    cr_assert_eq(changes_in(seen), 2U, "%s", seen.body.c_str());
    const auto items = json::value::parse(seen.body).at("changes");
    cr_expect_eq(items.at(0).at("operation").as_string(), "put");
    cr_expect_eq(items.at(1).at("operation").as_string(), "delete");
    cr_expect_eq(number(seen, "version"), from + 3);
    cr_expect_eq(changes_in(side.call("GET", watch_path(from + 3))), 0U);
    cr_expect_eq(side.call("GET", watch_path(from) + "x").status, 400);
}

// Guards against a gap between a list and the watch that continues from it: a
// change that commits while the list is read must be in one of them.
Test(operator_api, list_then_watch_misses_nothing)
{
    testing::table_state state;
    daemon_side side(state);
    daemon_side other(state);
    side.table.before_scan("config/teams/",
                           [&]
                           {
                               other.call("POST", team_path,
                                          R"({"desired": {}})");
                           });
    const auto listed = side.call("GET", "/v1/resources/teams");
    cr_assert_eq(listed.status, 200);
    side.config.refresh();
    const auto version = number(listed, "version");
    cr_expect_eq(changes_in(side.call("GET", watch_path(version))), 1U);
}

// Guards against a watcher that is told nothing changed although the log no
// longer reaches back to its version.
Test(operator_api, watch_from_a_version_that_left_the_log_is_refused)
{
    testing::table_state state;
    daemon_side side(state);
    auto version =
        number(side.call("POST", team_path, R"({"desired": {}})"), "version");
    const auto first = version;
    constexpr int more_than_the_log_keeps = 4200;
    for (int n = 0; n < more_than_the_log_keeps; ++n)
        version =
            number(side.call("PUT", team_path, put(version, "{}")), "version");
    cr_expect_eq(side.call("GET", watch_path(first)).status, 410);
    cr_expect_eq(changes_in(side.call("GET", watch_path(version - 1))), 1U);
}

// Guards against a change that is reported as refused while it may have been
// accepted, and against one applied twice after a lost answer.
Test(operator_api, answers_truthfully_when_the_store_fails)
{
    testing::table_state state;
    daemon_side side(state);
    side.table.faults().lose_answers(1);
    const auto made = side.call("POST", team_path, R"({"desired": {}})");
    cr_expect_eq(made.status, 201, "%s", made.body.c_str());
    cr_expect_eq(side.config.current()->version, 1U);
    side.table.faults().set_down(true);
    const auto refused =
        side.call("PUT", team_path, put(number(made, "version"), "{}"));
    cr_expect_eq(refused.status, 503, "%s", refused.body.c_str());
    cr_expect_eq(side.call("GET", team_path).status, 503);
}

// Guards against paths and bodies that are accepted in part.
Test(operator_api, refuses_wrong_paths_and_bodies)
{
    testing::table_state state;
    daemon_side side(state);
    struct wrong_call
    {
        const char* method;
        const char* path;
        const char* body;
        int status;
        const char* named;
    };
    const std::vector<wrong_call> calls = {
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
        const auto answer = side.call(it.method, it.path, it.body);
        cr_expect_eq(answer.status, it.status, "%s %s %s gives %d", it.method,
                     it.path, it.body, answer.status);
        cr_expect(names(answer, it.named), "%s", answer.body.c_str());
    }
    cr_expect_eq(side.config.current()->version, 0U);
}
