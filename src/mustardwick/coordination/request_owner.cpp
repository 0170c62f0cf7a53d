#include "mustardwick/coordination/request_owner.hpp"

#include <algorithm>
#include <utility>

#include "mustardwick/base/error.hpp"

namespace mustardwick::coordination
{

using std::chrono::milliseconds;

wire::forward_answer refused_answer(std::string reason, std::string remedy)
{
    return {
        wire::outcome::refused, 0, {}, std::move(reason), std::move(remedy)};
}

wire::forward_answer unknown_answer(std::string reason)
{
    return {wire::outcome::unknown,
            0,
            {},
            std::move(reason),
            "ask again with the same request id"};
}

namespace
{

/// Status with which a worker refuses a closed or expired lease.
constexpr int lease_refused_status = 409;

wire::forward_answer refused_by_last_error()
{
    return refused_answer(base::last_error().message,
                          base::last_error().remedy);
}

} // namespace

/// RAII handle of an occupied slot on a host and of one request reserved in the
/// team's escrow part.
class request_owner::slot
{
public:
    slot(request_owner& owner, const wire::forward_request& call)
        : owner_(&owner), host_(call.host), team_(call.team),
          attempt_(call.attempt)
    {
        ++owner_->running_;
    }

    ~slot()
    {
        if (owner_ == nullptr)
            return;
        --owner_->running_;
        owner_->release_slot(host_, attempt_);
        owner_->links_.escrow.release(team_);
    }

    /// Leaves the slot occupied until the worker can no longer be running the
    /// attempt.
    void retain()
    {
        --owner_->running_;
        owner_->retain_slot(host_, team_, attempt_);
        owner_ = nullptr;
    }

    slot(slot&& other) noexcept
        : owner_(std::exchange(other.owner_, nullptr)),
          host_(std::move(other.host_)), team_(std::move(other.team_)),
          attempt_(std::move(other.attempt_))
    {
    }

    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;
    slot& operator=(slot&&) = delete;

private:
    request_owner* owner_;
    std::string host_;
    std::string team_;
    std::string attempt_;
};

request_owner::request_owner(request_owner_links links,
                             milliseconds max_request_time)
    : links_(std::move(links)), max_request_time_(max_request_time)
{
}

int request_owner::running() const
{
    return running_;
}

void request_owner::adopt(const std::string& host,
                          const std::vector<std::string>& attempts)
{
    const auto end = links_.clock.now() + max_request_time_;
    slots_.update(host,
                  [&](host_slots& it)
                  {
                      // Requests that this daemon is serving already occupy a
                      // slot.
                      for (const auto& attempt : attempts)
                      {
                          if (it.serving.count(attempt) == 0)
                              it.adopted[attempt] = end;
                      }
                  });
}

void request_owner::release_slot(const std::string& host,
                                 const std::string& attempt)
{
    slots_.update(host,
                  [&](host_slots& it)
                  {
                      it.serving.erase(attempt);
                  });
}

/// Keeps the slot of an attempt of unknown outcome occupied for the maximum
/// request time, because the worker may still be running it.
void request_owner::retain_slot(const std::string& host,
                                const std::string& team,
                                const std::string& attempt)
{
    const auto end = links_.clock.now() + max_request_time_;
    slots_.update(host,
                  [&](host_slots& it)
                  {
                      it.serving.erase(attempt);
                      it.adopted[attempt] = end;
                  });
    links_.escrow.release_at(team, end);
}

std::optional<request_owner::slot>
request_owner::acquire_slot(const wire::forward_request& call)
{
    const auto config = links_.config.current();
    const auto spec = config->hosts.find(call.host);
    if (spec == config->hosts.end())
        return base::fail(base::error_kind::not_found, "no host " + call.host,
                          "retry");
    const int max_busy = std::min(spec->second.slots, spec->second.connections);
    const auto now = links_.clock.now();
    const bool taken =
        slots_.update(call.host,
                      [&](host_slots& it)
                      {
                          std::erase_if(it.adopted,
                                        [now](const auto& entry)
                                        {
                                            return now >= entry.second;
                                        });
                          const auto busy =
                              it.serving.size() + it.adopted.size();
                          if (busy >= static_cast<std::size_t>(max_busy))
                              return false;
                          return it.serving.insert(call.attempt).second;
                      });
    if (!taken)
        return base::fail(base::error_kind::overloaded,
                          "host " + call.host + " has no free slot",
                          "retry after a delay");
    if (links_.escrow.acquire(call.team))
        return slot(*this, call);
    release_slot(call.host, call.attempt);
    return base::fail(base::error_kind::overloaded,
                      "team " + call.team + " is at its request limit",
                      "retry after a delay or raise limit_requests");
}

bool request_owner::may_send(const wire::forward_request& call,
                             const held_lease& lease) const
{
    const auto current = links_.leases.lease_of(call.host);
    if (!current || current->lease != lease.lease)
        return false;
    if (!links_.config.is_fresh())
    {
        base::fail(base::error_kind::unavailable,
                   "the configuration is not confirmed", "retry after a delay");
        return false;
    }
    if (links_.config.current()->in_service(call.host))
        return true;
    base::fail(base::error_kind::unavailable,
               "host " + call.host + " is out of service",
               "retry after a delay");
    return false;
}

wire::forward_answer request_owner::serve(const wire::forward_request& call)
{
    const auto end = links_.clock.now() +
                     std::min(max_request_time_, milliseconds{call.timeout_ms});
    const auto lease = links_.leases.lease_of(call.host);
    if (!lease || !may_send(call, *lease))
        return refused_by_last_error();
    auto held = acquire_slot(call);
    if (!held)
        return refused_by_last_error();
    if (call.idempotent)
    {
        auto answer = send(call, *lease, end);
        if (answer.result == wire::outcome::unknown)
            held->retain();
        return answer;
    }
    std::uint64_t version = 0;
    const auto early = claim(call, *lease, version);
    if (early)
        return *early;
    const auto key = claim_key(call.team, call.request);
    auto record = claim_record{claim_state::claimed,
                               links_.self,
                               call.attempt,
                               call.host,
                               lease->lease,
                               0,
                               {}};
    auto answer = send(call, *lease, end);
    if (answer.result == wire::outcome::unknown)
    {
        held->retain();
        return answer;
    }
    const bool done = answer.result == wire::outcome::done;
    record.state = done ? claim_state::done : claim_state::not_run;
    record.status = answer.status;
    record.body = answer.body;
    if (done)
        links_.claims.record(key, record, version);
    else
        links_.claims.record_and_wait(key, record, version);
    return answer;
}

/// Claims the request. Returns an answer when it must not be sent, std::nullopt
/// when it is claimed.
std::optional<wire::forward_answer>
request_owner::claim(const wire::forward_request& call, const held_lease& lease,
                     std::uint64_t& version)
{
    const auto key = claim_key(call.team, call.request);
    const claim_record record{claim_state::claimed,
                              links_.self,
                              call.attempt,
                              call.host,
                              lease.lease,
                              0,
                              {}};
    switch (links_.claims.claim(key, record, version))
    {
    case claim_result::claimed:
        return std::nullopt;
    case claim_result::unknown:
        // Nothing was sent and this attempt will not be sent, so its claim, if
        // it was committed, can only resolve to not run. The outcome is still
        // unknown, because another attempt with the same id may hold the claim.
        return unknown_answer("the claim could not be confirmed");
    case claim_result::taken:
        break;
    }
    return stored_answer(key);
}

/// Returns the answer for a request id that another attempt has claimed.
wire::forward_answer request_owner::stored_answer(const std::string& key) const
{
    const auto stored = links_.claims.read(key);
    if (!stored)
        return unknown_answer("the claim cannot be read");
    if (stored->record.state == claim_state::done)
        return {wire::outcome::done,
                static_cast<std::uint16_t>(stored->record.status),
                stored->record.body,
                {},
                {}};
    return unknown_answer("another attempt with this id is being served");
}

wire::forward_answer request_owner::send(const wire::forward_request& call,
                                         const held_lease& lease,
                                         base::steady_time end)
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - links_.clock.now());
    if (left.count() <= 0)
        return refused_answer("the deadline has passed",
                              "allow more time in deadline_ms");
    if (!may_send(call, lease))
        return refused_by_last_error();
    links_.events.record("request_sent", call.request,
                         call.host + " attempt " + call.attempt);
    auto answer = links_.workers.request(lease.worker,
                                         {lease.lease, call.attempt, call.queue,
                                          call.body, left, call.idempotent});
    const bool lease_refused = answer.result == wire::outcome::refused &&
                               answer.status == lease_refused_status;
    if (lease_refused)
        links_.leases.invalidate(call.host, lease.lease);
    links_.events.record("request_answered", call.request, call.host);
    links_.metrics.add("mustardwick_requests_served_total");
    return answer;
}

bool request_owner::is_serving(const std::string& host,
                               const std::string& attempt)
{
    return slots_.update(host,
                         [&](host_slots& it)
                         {
                             return it.serving.count(attempt) > 0;
                         });
}

/// Closes the lease under which a request was claimed. A request whose
/// connection stalled may still reach the worker while that lease is open, so
/// its outcome can be determined only under the next lease.
void request_owner::close_lease_of(const claim_record& claim)
{
    links_.events.record("lease_closed_for_request", claim.host,
                         "attempt " + claim.attempt);
    links_.leases.invalidate(claim.host, claim.lease);
}

wire::forward_answer request_owner::resolve(const claim_record& claim)
{
    const auto lease = links_.leases.lease_of(claim.host);
    if (!lease)
        return unknown_answer("host " + claim.host + " has no open lease");
    const auto found =
        links_.workers.attempt(lease->worker, claim.lease, claim.attempt);
    if (!found)
        return unknown_answer("host " + claim.host + " does not answer");
    switch (found->state)
    {
    case ports::attempt_state::done:
        return {wire::outcome::done,
                static_cast<std::uint16_t>(found->status),
                found->body,
                {},
                {}};
    case ports::attempt_state::unknown:
        return unknown_answer("host " + claim.host +
                              " has lost its memory of the attempt");
    case ports::attempt_state::running:
        return unknown_answer("the request is still running");
    case ports::attempt_state::never_started:
        break;
    }
    if (lease->lease == claim.lease)
    {
        if (!is_serving(claim.host, claim.attempt))
            close_lease_of(claim);
        return unknown_answer("the request may still be under way");
    }
    return refused_answer("the request did not run", "send it again");
}

} // namespace mustardwick::coordination
