#include "mustardwick/caller/request_router.hpp"

#include <algorithm>
#include <thread>
#include <utility>

#include "mustardwick/base/error.hpp"
#include "mustardwick/base/identity.hpp"

namespace mustardwick::caller
{

using base::steady_time;
using coordination::refused_answer;
using coordination::unknown_answer;
using std::chrono::milliseconds;
using wire::outcome;

namespace
{

/// Time for which a host's load counts as 1 higher, that is as full, after the
/// host refused a request or left its outcome unknown.
constexpr milliseconds avoid_duration{20};
/// Delay before the next pass over the hosts, when all of them have been tried.
constexpr milliseconds all_busy_backoff{3};

} // namespace

request_router::request_router(request_router_links links)
    : links_(std::move(links)), random_(std::random_device{}())
{
}

std::size_t request_router::random_below(std::size_t n)
{
    const std::scoped_lock lock(mutex_);
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
}

double request_router::load_of(const coordination::configuration& config,
                               const std::string& host)
{
    const auto spec = config.hosts.find(host);
    const int slots = spec == config.hosts.end() ? 1 : spec->second.slots;
    const auto now = links_.clock.now();
    return loads_.update(host,
                         [&](load& it)
                         {
                             const double share =
                                 static_cast<double>(it.outstanding) /
                                 std::max(1, slots);
                             return now < it.avoid_until ? share + 1 : share;
                         });
}

std::vector<std::string>
request_router::candidates(const coordination::configuration& config,
                           const std::set<std::string>& tried, bool own_domain)
{
    std::vector<std::string> out;
    for (const auto& [name, spec] : config.hosts)
    {
        const bool in_domain =
            !own_domain || spec.failure_domain == links_.failure_domain;
        const bool usable = in_domain && spec.slots > 0 &&
                            tried.count(name) == 0 && config.in_service(name) &&
                            !links_.is_leaving(name);
        if (usable)
            out.push_back(name);
    }
    return out;
}

std::optional<std::string>
request_router::choose_host(const std::set<std::string>& tried)
{
    const auto config = links_.config.current();
    for (const bool own_domain : {true, false})
    {
        const auto names = candidates(*config, tried, own_domain);
        if (names.empty())
            continue;
        const auto& first = names[random_below(names.size())];
        const auto& second = names[random_below(names.size())];
        const auto& best = load_of(*config, first) <= load_of(*config, second)
                               ? first
                               : second;
        // Other failure domains are used only once the own one is full.
        if (!own_domain || load_of(*config, best) < 1)
            return best;
    }
    return std::nullopt;
}

wire::forward_answer request_router::forward(const std::string& owner,
                                             const wire::forward_request& call,
                                             milliseconds left)
{
    const auto peer = links_.view.endpoint_of(owner);
    if (!peer)
        return refused_answer("no daemon owns host " + call.host,
                              "retry after a delay");
    auto progress = wire::call_progress::not_sent;
    auto answer = links_.peers.call<wire::forward_answer>(
        *peer, wire::message_type::forward_request, call, left, call.idempotent,
        &progress);
    // The owner may have run the first copy before it restarted or lost the
    // host.
    if (answer && answer->result == outcome::refused &&
        progress == wire::call_progress::resent)
        return unknown_answer("daemon " + owner + " refused a second copy");
    if (answer)
        return std::move(*answer);
    if (progress == wire::call_progress::not_sent)
        return refused_answer(base::last_error().message,
                              base::last_error().remedy);
    return unknown_answer("daemon " + owner + " did not answer");
}

wire::forward_answer request_router::send(const admitted_request& request,
                                          const std::string& host,
                                          steady_time deadline)
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - links_.clock.now());
    wire::forward_request call;
    call.attempt = base::unique_id();
    call.request = request.id;
    call.team = request.team;
    call.queue = request.queue;
    call.host = host;
    call.body = request.body;
    call.timeout_ms = static_cast<std::uint32_t>(
        std::max<milliseconds::rep>(0, left.count()));
    call.idempotent = request.idempotent;
    loads_.update(host,
                  [](load& it)
                  {
                      ++it.outstanding;
                  });
    queues_.update(request.queue,
                   [](queue_state& it)
                   {
                       ++it.sent;
                   });
    const auto owner = links_.view.assigned_to(host);
    auto answer = owner == links_.self ? links_.owner.serve(call)
                                       : forward(owner, call, left);
    queues_.update(request.queue,
                   [](queue_state& it)
                   {
                       --it.sent;
                   });
    const auto avoid_until = links_.clock.now() + avoid_duration;
    loads_.update(host,
                  [&](load& it)
                  {
                      --it.outstanding;
                      if (answer.result != outcome::done)
                          it.avoid_until = avoid_until;
                  });
    return answer;
}

bool request_router::may_retry(const std::string& queue)
{
    const auto now = links_.clock.now();
    return queues_.update(queue,
                          [now](queue_state& it)
                          {
                              return it.retries.try_retry(now);
                          });
}

/// Returns whether the requests ahead are expected to take longer than the time
/// until the deadline.
bool request_router::cannot_meet_deadline(const std::string& queue,
                                          steady_time deadline)
{
    const auto now = links_.clock.now();
    const auto left =
        std::chrono::duration_cast<std::chrono::microseconds>(deadline - now);
    return queues_.update(queue,
                          [&](queue_state& it)
                          {
                              return !it.admission.admits(
                                  it.unanswered - it.sent, it.sent, left, now);
                          });
}

void request_router::record_service_time(const std::string& queue,
                                         steady_time started)
{
    const auto now = links_.clock.now();
    const auto time =
        std::chrono::duration_cast<std::chrono::microseconds>(now - started);
    queues_.update(queue,
                   [&](queue_state& it)
                   {
                       it.admission.record_service(time, now);
                   });
}

wire::forward_answer request_router::route(const admitted_request& request)
{
    const auto deadline = links_.clock.now() + request.timeout;
    queues_.update(request.queue,
                   [](queue_state& it)
                   {
                       it.retries.record_request();
                       ++it.unanswered;
                   });
    auto answer = try_hosts_until(request, deadline);
    queues_.update(request.queue,
                   [](queue_state& it)
                   {
                       --it.unanswered;
                   });
    return answer;
}

wire::forward_answer
request_router::try_hosts_until(const admitted_request& request,
                                steady_time deadline)
{
    auto last =
        refused_answer("no host serves requests", "declare hosts with slots");
    std::set<std::string> tried;
    bool may_have_run = false;
    while (links_.clock.now() < deadline)
    {
        const auto host = choose_host(tried);
        if (!host && tried.empty())
            return last;
        if (!host)
        {
            // Every available host has been tried. A request that cannot meet
            // its deadline ends now, which leaves the slots to those that can.
            if (cannot_meet_deadline(request.queue, deadline))
                return last;
            tried.clear();
            std::this_thread::sleep_for(all_busy_backoff);
            continue;
        }
        const auto started = links_.clock.now();
        last = send(request, *host, deadline);
        if (last.result == outcome::done)
        {
            record_service_time(request.queue, started);
            return last;
        }
        tried.insert(*host);
        // A refused request has not run and may be sent to another host. After
        // an unknown outcome only an idempotent request may be.
        if (last.result == outcome::refused)
        {
            if (may_have_run)
                last = unknown_answer("an earlier try may have run");
            continue;
        }
        may_have_run = true;
        if (!request.idempotent || !may_retry(request.queue))
            return last;
        links_.metrics.add("mustardwick_request_retries_total");
    }
    return last;
}

} // namespace mustardwick::caller
