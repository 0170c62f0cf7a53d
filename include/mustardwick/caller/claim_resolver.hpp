#pragma once

#include <optional>
#include <string>

#include "mustardwick/coordination/claim_log.hpp"
#include "mustardwick/coordination/cluster_view.hpp"
#include "mustardwick/coordination/request_owner.hpp"
#include "mustardwick/wire/rpc.hpp"

namespace mustardwick::caller
{

/// @brief Determines the outcome of a non-idempotent request.
class claim_resolver
{
public:
    claim_resolver(coordination::claim_log& claims,
                   const coordination::cluster_view& view,
                   coordination::request_owner& owner, wire::rpc_client& peers,
                   std::string self);

    /// @brief Returns the outcome of a claimed request.
    ///
    /// A final outcome is recorded in the claim. error_kind::not_found when no
    /// request was claimed with this id.
    std::optional<wire::forward_answer> resolve(const std::string& team,
                                                const std::string& request);

private:
    wire::forward_answer query_owner(const coordination::claim_record& claim);
    void record(const std::string& key,
                const coordination::stored_claim& stored,
                const wire::forward_answer& answer);

    coordination::claim_log& claims_;
    const coordination::cluster_view& view_;
    coordination::request_owner& owner_;
    wire::rpc_client& peers_;
    std::string self_;
};

} // namespace mustardwick::caller
