#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <cpprest/json.h>

#include "testing/scenario/cell.hpp"
#include "testing/scenario/daemon_client.hpp"
#include "testing/scenario/recorder.hpp"
#include "testing/scenario/statement.hpp"

namespace mustardwick::testing
{

/// @brief Result of two operators concurrently changing one resource.
struct race_result
{
    int accepted = 0;
    int conflicts = 0;
    int unanswered = 0;
    /// The team's share after the race.
    std::int64_t value = 0;
};

/// @brief Changes resources as an operator and records facts for the checker.
class operator_driver
{
public:
    operator_driver(cell& target, recorder& records)
        : cell_(target), recorder_(records)
    {
    }

    /// @brief Declares the failure domains and hosts of all worker groups.
    bool configure();

    /// @brief Creates or replaces a resource with the options as its fields.
    bool put(const std::string& kind, const std::string& name,
             const std::map<std::string, std::string>& options);

    bool grant(const std::string& key, const std::string& team);
    bool withdraw(const std::string& key);

    bool set_domain(const std::string& name, bool in_service);
    bool set_host(const std::string& name, bool in_service);

    /// @brief Runs two operators that increment a team's share by
    /// compare-and-swap at different daemons.
    ///
    /// std::nullopt, with last_error() set, when no daemon is available.
    std::optional<race_result> race(const std::string& team, int rounds);

    /// @brief Returns a daemon's reply to GET /v1/stats.
    api_reply statistics(const daemon_entry& daemon);

    /// @brief Returns the highest configuration version of accepted changes.
    std::int64_t last_version() const
    {
        return last_version_;
    }

    /// @brief Returns the text of a granted key, also after its withdrawal;
    /// empty for an unknown key.
    std::string key_text(const std::string& key) const;
    std::string team_of(const std::string& key) const;

    /// @brief Changes the given fields of an existing resource.
    bool patch(const std::string& kind, const std::string& name,
               const std::map<std::string, std::string>& options);

private:
    api_reply call(const std::string& method, const std::string& path,
                   const web::json::value& body);
    api_reply call_via(std::uint16_t port, const std::string& method,
                       const std::string& path, const web::json::value& body);
    bool change(const std::string& kind, const std::string& name,
                const web::json::value& desired, const api_reply& found);
    bool declare_hosts(const worker_group& group);
    void record_version(const api_reply& reply);
    void record_limit(const std::string& team, const web::json::value& desired);
    void increment_share(std::uint16_t port, const std::string& team,
                         int rounds, race_result& out);

    cell& cell_;
    recorder& recorder_;
    daemon_client client_;
    std::atomic<std::int64_t> last_version_{0};
    mutable std::mutex mutex_;
    std::map<std::string, std::string> key_texts_;
    std::map<std::string, std::string> teams_;
};

/// @brief Converts options to a JSON object; values that read as numbers or as
/// true or false get that JSON type.
web::json::value
to_json_fields(const std::map<std::string, std::string>& options);

} // namespace mustardwick::testing
