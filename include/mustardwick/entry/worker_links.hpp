#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/base/metrics.hpp"
#include "mustardwick/dispatch/planner.hpp"
#include "platform/worker_client.hpp"

namespace mustardwick::entry
{

/// @brief The leader's connections to workers: renews leases, collects reports
/// of ended runs and delivers orders.
class worker_links : public std::enable_shared_from_this<worker_links>
{
public:
    struct events
    {
        /// The planner's state has changed.
        std::function<void()> changed;
        /// A worker follows a newer leader and rejected this one's epoch.
        std::function<void()> fenced;
        /// Returns whether this daemon may act as leader now.
        std::function<bool()> has_authority;
    };

    worker_links(boost::asio::io_context& io, const base::clock& time,
                 base::metrics& metrics, dispatch::planner& planner,
                 std::int64_t epoch, events on);

    void listed(const jobs::worker_info& info);
    void unlisted(const std::string& id);
    void deliver(const dispatch::orders& orders);
    void stop();

private:
    struct link
    {
        jobs::worker_info info;
        std::unique_ptr<platform::worker_client> client;
        std::unique_ptr<boost::asio::steady_timer> timer;
        bool listed = false;
        int failures = 0;
        /// How often the next renewal has been postponed.
        int deferrals = 0;
        /// The last renewal acknowledged fewer ends than are committed; the
        /// worker answers at once with the same ends.
        bool withheld_ends = false;
        /// The next renewal only asks for a report, which the worker gives at
        /// once, whichever incarnation it is.
        bool asks_at_once = false;
        std::uint64_t generation = 0;
        /// Generation of the last renewal of that kind.
        std::uint64_t asked = 0;
    };

    /// @brief Asks a worker for a report, unless it is being asked.
    void ask_at_once(const std::string& id);

    /// @brief Returns which end to acknowledge if the renewal may reach another
    /// incarnation.
    std::int64_t acknowledge_unverified(const std::string& id);
    void renew(const std::string& id);
    void renewed(const std::string& id, std::uint64_t generation,
                 platform::renewal_reply reply, base::steady_time asked);
    void renew_after(link& it, std::chrono::milliseconds delay);
    void start(const dispatch::start_order& order);
    /// @brief Handles that an order was meant for another incarnation than the
    /// worker's present one.
    void met_other_incarnation(const dispatch::start_order& order);
    void stop_run(const dispatch::stop_order& order);

    boost::asio::io_context& io_;
    const base::clock& clock_;
    base::metrics& metrics_;
    dispatch::planner& planner_;
    std::int64_t epoch_;
    events on_;
    std::map<std::string, link, std::less<>> links_;
    /// Tokens of each worker that this leader has called, also while it has no
    /// link: a worker refuses tokens that are used again.
    std::map<std::string, std::shared_ptr<jobs::fencing_tokens>, std::less<>>
        tokens_;
    bool stopped_ = false;
};

} // namespace mustardwick::entry
