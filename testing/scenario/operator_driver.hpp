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

/// @brief Result of two operators who change one resource at the same time.
struct race_result
{
    int accepted = 0;
    int conflicts = 0;
    int unanswered = 0;
    /// The counter in the resource after the race.
    std::int64_t value = 0;
};

/// @brief Declares resources as an operator does, and records the facts.
class operator_driver
{
public:
    operator_driver(cell& target, recorder& records)
        : cell_(target), recorder_(records)
    {
    }

    /// @brief Declares failure domains and hosts of all worker groups.
    bool configure();

    /// @brief Creates or changes a resource; the options are its fields.
    bool put(const std::string& kind, const std::string& name,
             const std::map<std::string, std::string>& options);

    bool grant(const std::string& key, const std::string& team);
    bool withdraw(const std::string& key);

    bool set_domain(const std::string& name, bool in_service);
    bool set_host(const std::string& name, bool in_service);

    /// @brief Two operators add to a team's share by compare and swap.
    std::optional<race_result> race(const std::string& team, int rounds);

    /// @brief What a daemon tells about itself.
    api_reply statistics(const daemon_entry& daemon);

    /// @brief Version of the last change that was accepted.
    std::int64_t last_version() const
    {
        return last_version_;
    }

    /// @brief The key text of a granted key, also after its withdrawal.
    std::string key_text(const std::string& key) const;
    std::string team_of(const std::string& key) const;

    /// @brief Changes one field of a resource that exists.
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

/// @brief Builds a JSON object; numbers and true or false become such.
web::json::value
to_json_fields(const std::map<std::string, std::string>& options);

} // namespace mustardwick::testing
