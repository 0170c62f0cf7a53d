#pragma once

#include <functional>
#include <string>

#include <cpprest/json.h>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/time_line.hpp"
#include "mustardwick/coordination/config_store.hpp"
#include "mustardwick/http/message.hpp"

namespace mustardwick::operators
{

/// @brief Dependencies of operator_api; the referenced objects outlive it.
struct operator_api_links
{
    coordination::config_store& config;
    base::time_line& events;
    /// Returns the observed state of a resource.
    std::function<web::json::value(coordination::resource_kind,
                                   const std::string& name)>
        observe;
};

/// @brief HTTP API for operators: /v1/resources and /v1/keys.
class operator_api
{
public:
    explicit operator_api(operator_api_links links);

    /// @brief Handles a call that was authenticated as an operator's.
    http::response handle(const http::request& call);

private:
    http::response list(coordination::resource_kind kind);
    http::response get(coordination::resource_kind kind,
                       const std::string& name);
    http::response watch(coordination::resource_kind kind,
                         const http::request& call);
    http::response change(coordination::resource_kind kind,
                          const std::string& name, const http::request& call);
    http::response apply(const coordination::change_request& request);
    http::response grant_key(const http::request& call);
    http::response withdraw_key(const std::string& name);
    web::json::value encode(const coordination::stored_resource& resource);

    operator_api_links links_;
};

} // namespace mustardwick::operators
