#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "mustardwick/base/clock.hpp"
#include "mustardwick/coordination/membership.hpp"
#include "mustardwick/wire/codec.hpp"

using namespace mustardwick;
using namespace mustardwick::coordination;
using base::milliseconds;
using wire::member_state;

namespace
{

constexpr milliseconds step{50};

struct network_options
{
    int members = 9;
    int loss_percent = 0;
    int duplicate_percent = 0;
    int max_delay_ms = 1;
    unsigned seed = 1;
};

/// A simulated network of members on one manual clock, in which a test can cut
/// links and pause members.
class network
{
public:
    explicit network(network_options o) : options_(o), random_(o.seed)
    {
        std::vector<peer> rows;
        rows.reserve(static_cast<std::size_t>(o.members));
        for (int n = 0; n < o.members; ++n)
            rows.push_back(
                {"entry-" + std::to_string(n), 1, {"10.0.0.1", port_of(n)}});
        for (int n = 0; n < o.members; ++n)
        {
            nodes_.push_back(std::make_unique<membership>(
                rows[static_cast<std::size_t>(n)].name, 1, o.seed * 100 + n));
            nodes_.back()->set_peers(rows);
        }
        incarnations_.resize(nodes_.size());
    }

    void run(milliseconds time)
    {
        for (milliseconds done{0}; done < time; done += step)
            run_step();
    }

    void cut(int from, int to)
    {
        cuts_.insert({from, to});
    }

    void heal()
    {
        cuts_.clear();
        paused_.clear();
    }

    void pause(int n)
    {
        paused_.insert(n);
    }

    membership& node(int n)
    {
        return *nodes_[static_cast<std::size_t>(n)];
    }

    /// Counts the ordered pairs in which one member does not consider the other
    /// alive.
    int disagreements()
    {
        int n = 0;
        for (int from = 0; from < options_.members; ++from)
            for (int to = 0; to < options_.members; ++to)
                n += from != to && state(from, to) != member_state::alive;
        return n;
    }

    member_state state(int from, int to)
    {
        return *node(from).peer_state("entry-" + std::to_string(to));
    }

    std::uint64_t bytes() const
    {
        return bytes_;
    }

    bool incarnations_are_monotonic() const
    {
        return incarnations_monotonic_;
    }

private:
    struct delivery
    {
        int to;
        membership_datagram content;
    };

    static std::uint16_t port_of(int n)
    {
        return static_cast<std::uint16_t>(7000 + n);
    }

    bool chance(int percent)
    {
        return static_cast<int>(random_() % 100) < percent;
    }

    void run_step()
    {
        clock_.advance(step);
        for (int n = 0; n < options_.members; ++n)
            if (!paused_.contains(n))
                send(n, node(n).tick(clock_.now()));
        while (!queue_.empty() && queue_.begin()->first <= clock_.now())
            deliver_first();
        check_incarnations();
    }

    void deliver_first()
    {
        const auto entry = queue_.extract(queue_.begin());
        const auto& [to, content] = entry.mapped();
        if (paused_.contains(to))
            queue_.emplace(clock_.now() + step, entry.mapped());
        else
            send(to, node(to).receive(clock_.now(), content));
    }

    void send(int from, const membership::datagrams& output)
    {
        for (const auto& it : output)
        {
            const int to = it.remote.port - port_of(0);
            bytes_ += wire::header_bytes + wire::tag_bytes +
                      wire::encode(it.message).size();
            if (cuts_.contains({from, to}))
                continue;
            auto content = it;
            content.remote.port = port_of(from);
            if (!chance(options_.loss_percent))
                enqueue(to, content);
            if (chance(options_.duplicate_percent))
                enqueue(to, content);
        }
    }

    void enqueue(int to, const membership_datagram& content)
    {
        const auto delay =
            static_cast<int>(random_()) % (options_.max_delay_ms + 1);
        queue_.emplace(clock_.now() + milliseconds{std::abs(delay)},
                       delivery{to, content});
    }

    void check_incarnations()
    {
        for (int from = 0; from < options_.members; ++from)
            for (int to = 0; to < options_.members; ++to)
            {
                const auto known =
                    node(from).peer_incarnation("entry-" + std::to_string(to));
                auto& last = incarnations_[static_cast<std::size_t>(from)][to];
                incarnations_monotonic_ =
                    incarnations_monotonic_ && known.value_or(0) >= last;
                last = known.value_or(0);
            }
    }

    network_options options_;
    std::mt19937 random_;
    base::manual_clock clock_;
    std::vector<std::unique_ptr<membership>> nodes_;
    std::multimap<base::steady_time, delivery> queue_;
    std::set<std::pair<int, int>> cuts_;
    std::set<int> paused_;
    std::vector<std::map<int, std::uint64_t>> incarnations_;
    std::uint64_t bytes_ = 0;
    bool incarnations_monotonic_ = true;
};

/// Returns the time in which each member has probed all others: two rounds of
/// the shuffled order with one probe of a dead peer in every third period of
/// one second.
milliseconds recovery_bound(int members)
{
    return milliseconds{1000} * 3 * 2 * members;
}

network_options random_options()
{
    network_options out;
    out.members = *rc::gen::inRange(3, 10);
    out.loss_percent = *rc::gen::inRange(0, 20);
    out.duplicate_percent = *rc::gen::inRange(0, 30);
    out.max_delay_ms = *rc::gen::inRange(0, 150);
    out.seed = *rc::gen::inRange(1U, 1'000'000U);
    return out;
}

/// Pauses some members, or cuts their links in one or both directions, at
/// random.
void inject_fault(network& net, int members)
{
    const int kind = *rc::gen::inRange(0, 3);
    const int border = *rc::gen::inRange(1, members);
    for (int n = 0; kind == 0 && n < border; ++n)
        net.pause(n);
    for (int from = 0; kind != 0 && from < border; ++from)
        for (int to = border; to < members; ++to)
        {
            net.cut(from, to);
            if (kind == 2)
                net.cut(to, from);
        }
}

struct traffic_case
{
    int members;
    double max_bytes_per_second;
};

} // namespace

// Guards against members that are still considered dead after a fault has
// healed, and against incarnations that decrease.
Test(membership, members_recover_after_faults, .timeout = 120)
{
    const bool ok =
        rc::check("members recover",
                  []
                  {
                      const auto options = random_options();
                      network net(options);
                      net.run(milliseconds{5000});
                      inject_fault(net, options.members);
                      net.run(milliseconds{*rc::gen::inRange(1000, 30'000)});
                      net.heal();
                      net.run(recovery_bound(options.members));
                      // Packet loss can cause a suspicion at any time, but not
                      // a lasting one.
                      for (int n = 0; n < 200 && net.disagreements() > 0; ++n)
                          net.run(step);
                      RC_ASSERT(net.disagreements() == 0);
                      RC_ASSERT(net.incarnations_are_monotonic());
                  });
    cr_assert(ok);
}

// Guards against regions that do not rejoin after a partition of an hour.
Test(membership, regions_rejoin_after_an_hour, .timeout = 60)
{
    network net({.members = 9, .loss_percent = 1, .seed = 7});
    for (int from = 0; from < 4; ++from)
        for (int to = 4; to < 9; ++to)
        {
            net.cut(from, to);
            net.cut(to, from);
        }
    net.run(milliseconds{3'600'000});
    cr_assert_eq(net.state(0, 8), member_state::dead);
    cr_assert_eq(net.state(0, 1), member_state::alive);
    net.heal();
    milliseconds took{0};
    for (; net.disagreements() > 0 && took < recovery_bound(9); took += step)
        net.run(step);
    cr_log_info("rejoined after %lld ms", static_cast<long long>(took.count()));
    cr_assert_eq(net.disagreements(), 0);
}

// Guards against membership traffic that uses more than a quarter of a daemon's
// budget of 2 KB/s.
Test(membership, traffic_stays_within_its_budget)
{
    const std::array cases = {traffic_case{9, 512}, traffic_case{18, 512}};
    for (const auto& it : cases)
    {
        network net({.members = it.members});
        constexpr int seconds = 300;
        net.run(milliseconds{1000} * seconds);
        // A daemon sends and receives the same amount on average.
        const double rate =
            2.0 * static_cast<double>(net.bytes()) / seconds / it.members;
        cr_log_info("%d members: %.0f bytes/s sent and received", it.members,
                    rate);
        cr_assert_lt(rate, it.max_bytes_per_second);
        cr_assert_eq(net.disagreements(), 0);
    }
}

// Guards against a dead member that is detected only after more than 10 s.
Test(membership, a_dead_member_is_detected_in_time, .timeout = 60)
{
    for (const int members : {9, 18})
    {
        std::vector<long long> times;
        for (unsigned seed = 1; seed <= 100; ++seed)
        {
            network net({.members = members, .seed = seed});
            net.run(milliseconds{5000} + step * (seed % 20));
            net.pause(0);
            milliseconds took{0};
            while (net.state(1, 0) != member_state::dead &&
                   took < milliseconds{30'000})
            {
                net.run(step);
                took += step;
            }
            times.push_back(took.count());
        }
        std::sort(times.begin(), times.end());
        cr_log_info("%d members: detected after p50 %lld ms, max %lld ms",
                    members, times[50], times.back());
        cr_assert_leq(times.back(), 10'000);
    }
}

// Guards against live members that are considered dead because of packet loss.
Test(membership, loss_alone_causes_no_false_deaths)
{
    network net({.members = 9, .loss_percent = 5, .seed = 3});
    int deaths = 0;
    for (int n = 0; n < 6000; ++n)
    {
        net.run(step);
        for (int to = 1; to < 9; ++to)
            deaths += net.state(0, to) == member_state::dead;
    }
    cr_assert_eq(deaths, 0);
}
