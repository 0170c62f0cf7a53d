#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <cpprest/json.h>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/http/message.hpp"
#include "testing/standin/event_log.hpp"
#include "testing/standin/sleeper.hpp"
#include "testing/standin/worker_state.hpp"

namespace mustardwick::testing
{

/// @brief The HTTP interface of one or more workers in a process.
class worker_service
{
public:
    worker_service(const std::vector<worker_identity>& workers,
                   const base::clock& time, event_log& events);

    http::response handle(const http::request& call);

    /// @brief On all workers, ends tasks whose run time has passed and expires
    /// leases that are due.
    void advance();

    /// @brief Ends all injected delays early.
    void shut_down()
    {
        sleeper_.shut_down();
    }

private:
    http::response handle_action(worker_state& worker,
                                 const std::string& action,
                                 const http::request& call);
    http::response withhold_response();
    http::response open(worker_state& worker, const web::json::value& body);
    http::response renew_group(const http::request& call);
    http::response renew(worker_state& worker, const web::json::value& body);
    http::response order(worker_state& worker, const web::json::value& body);
    http::response request(worker_state& worker, const web::json::value& body);
    http::response attempt(worker_state& worker, const std::string& lease,
                           const std::string& id);
    http::response set_faults(worker_state& worker,
                              const web::json::value& body);

    std::map<std::string, std::unique_ptr<worker_state>, std::less<>> workers_;
    sleeper sleeper_;
    /// Unique per process, so that callers can detect a restart.
    const std::string boot_;
};

} // namespace mustardwick::testing
