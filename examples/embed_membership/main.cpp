// Embeds membership and the assignment of services to members: three members
// exchange datagrams, one of them stops, and the others take over its services.
// Membership does no I/O and reads no clock. This example passes datagrams
// through a queue and advances time in steps; a daemon would send them over
// UDP.

#include <algorithm>
#include <chrono>
#include <deque>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "mustardwick/coordination/membership.hpp"
#include "mustardwick/coordination/rendezvous.hpp"

namespace
{

namespace coordination = mustardwick::coordination;
namespace wire = mustardwick::wire;
using coordination::membership;
using mustardwick::base::steady_time;
using std::chrono::milliseconds;

constexpr milliseconds step{50};
constexpr milliseconds settle_time{10'000};

const std::vector<std::string> services = {"mail",    "billing", "search",
                                           "reports", "backup",  "index",
                                           "chat",    "audit",   "print"};

/// Runs three members and delivers the datagrams between them.
class group
{
public:
    group()
    {
        for (const char* it : {"ada", "bob", "cleo"})
            add(it);
        for (auto& [name, member] : members_)
            member.set_peers(peers_);
    }

    /// Returns the given member and all peers that it does not consider dead.
    std::vector<std::string> live(const std::string& self) const
    {
        std::vector<std::string> out = {self};
        for (const auto& it : peers_)
        {
            const auto state = members_.at(self).peer_state(it.name);
            if (it.name != self && state && *state != wire::member_state::dead)
                out.push_back(it.name);
        }
        return out;
    }

    void stop(const std::string& name)
    {
        members_.erase(name);
    }

    void run(milliseconds duration)
    {
        for (const auto end = now_ + duration; now_ < end; now_ += step)
        {
            for (auto& [name, member] : members_)
                send(name, member.tick(now_));
            deliver();
        }
    }

private:
    struct packet
    {
        std::string from;
        coordination::membership_datagram datagram;
    };

    void add(const std::string& name)
    {
        const auto n = peers_.size() + 1;
        const wire::endpoint address{"192.0.2." + std::to_string(n), 7401};
        peers_.push_back({name, 1, address});
        members_.emplace(name, membership(name, 1, n));
    }

    const coordination::peer& peer_of(const std::string& name) const
    {
        return *std::find_if(peers_.begin(), peers_.end(),
                             [&name](const auto& it)
                             {
                                 return it.name == name;
                             });
    }

    void send(const std::string& from, membership::datagrams list)
    {
        for (auto& it : list)
            packets_.push_back({from, std::move(it)});
    }

    /// Delivers each datagram to the member at its address, if it is running.
    void deliver()
    {
        while (!packets_.empty())
        {
            auto [from, datagram] = std::move(packets_.front());
            packets_.pop_front();
            const auto destination = datagram.remote;
            datagram.remote = peer_of(from).address;
            for (auto& [name, member] : members_)
                if (peer_of(name).address == destination)
                    send(name, member.receive(now_, datagram));
        }
    }

    std::vector<coordination::peer> peers_;
    std::map<std::string, membership> members_;
    std::deque<packet> packets_;
    steady_time now_{milliseconds{1000}};
};

/// Prints the services assigned to each live member; returns their number.
std::size_t print_services(const std::vector<std::string>& live)
{
    std::size_t assigned = 0;
    for (const auto& member : live)
    {
        std::cout << "  " << member << ':';
        for (const auto& it :
             coordination::assigned_keys(member, services, live))
        {
            std::cout << ' ' << it;
            ++assigned;
        }
        std::cout << '\n';
    }
    return assigned;
}

} // namespace

int main()
{
    group members;
    members.run(settle_time);
    std::cout << "three members:\n";
    const auto before = members.live("ada");
    bool ok = before.size() == 3 && print_services(before) == services.size();
    members.stop("cleo");
    members.run(settle_time);
    std::cout << "after cleo stopped, as ada and bob see it:\n";
    const auto after = members.live("ada");
    ok = ok && after.size() == 2 && print_services(after) == services.size();
    auto seen_by_bob = members.live("bob");
    std::sort(seen_by_bob.begin(), seen_by_bob.end());
    ok = ok && seen_by_bob == after;
    std::cout << (ok ? "done\n" : "unexpected result\n");
    return ok ? 0 : 1;
}
