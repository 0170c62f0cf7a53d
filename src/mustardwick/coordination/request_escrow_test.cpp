#include "mustardwick/coordination/request_escrow.hpp"

#include <criterion/criterion.h>

#include "mustardwick/base/log.hpp"
#include "testing/standin/fake_table.hpp"

using namespace mustardwick;
using namespace mustardwick::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr auto authority = 9s;
constexpr auto reclaim_after = 60s;
constexpr std::int64_t limit = 4;

member_record member(const std::string& name)
{
    member_record out;
    out.name = name;
    return out;
}

/// The escrow of one daemon, whose failure detection considers the peers in
/// `dead` dead.
struct daemon
{
    daemon(testing::table_state& state, const base::manual_clock& clock,
           const std::string& name)
        : access(state), table(access),
          registry(table, clock, member(name), authority),
          view(registry,
               [this](std::string_view peer)
               {
                   return dead.count(peer) > 0;
               }),
          freeze(clock), config(table, clock, 3s, freeze),
          holders(registry, view, freeze, clock, authority),
          escrow({table, config, clock, holders,
                  []
                  {
                      return std::size_t{2};
                  },
                  [this](const std::string&, const std::string& team,
                         std::int64_t amount) -> std::optional<std::int64_t>
                  {
                      if (donor == nullptr)
                          return std::nullopt;
                      return donor->escrow.transfer(team, holders.self(),
                                                    amount);
                  }},
                 reclaim_after)
    {
        registry.register_self();
        refresh();
    }

    void refresh()
    {
        registry.refresh();
        config.refresh();
    }

    int acquire_all()
    {
        int n = 0;
        while (escrow.acquire("t"))
            ++n;
        return n;
    }

    testing::fake_table access;
    ports::table table;
    std::set<std::string, std::less<>> dead;
    daemon* donor = nullptr;
    member_registry registry;
    cluster_view view;
    change_freeze freeze;
    config_store config;
    escrow_holders holders;
    request_escrow escrow;
};

/// Two daemons that each hold half of a team's limit.
struct two_daemons
{
    two_daemons()
    {
        base::set_up_log("test", base::log_level::error);
        set_limit(limit);
        first.escrow.tick();
        clock.advance(1s);
        second.escrow.tick();
        clock.advance(1s);
        second.escrow.acquire("t");
        second.escrow.release("t");
    }

    void set_limit(std::int64_t value)
    {
        const auto stored = first.config.read(resource_kind::team, "t");
        change_request change;
        change.kind = resource_kind::team;
        change.name = "t";
        change.expected =
            stored ? change_precondition::version : change_precondition::absent;
        change.version = stored ? stored->version : 0;
        change.desired = R"({"limit_requests":)" + std::to_string(value) + '}';
        cr_assert(first.config.change(change).has_value());
        first.refresh();
        second.refresh();
    }

    std::int64_t part_of(const std::string& holder)
    {
        const auto row = state.read(escrow_key("t"));
        auto record = parse_escrow(row.value).value_or(escrow_record{});
        return record.parts[holder];
    }

    std::int64_t allocated()
    {
        const auto row = state.read(escrow_key("t"));
        std::int64_t sum = 0;
        for (const auto& [holder, part] :
             parse_escrow(row.value).value_or(escrow_record{}).parts)
            sum += part;
        return sum;
    }

    /// Lets time pass while the first daemon renews its row, and the second if
    /// `second_renews`.
    void pass(std::chrono::seconds time, bool second_renews)
    {
        for (auto n = 0s; n < time; ++n)
        {
            clock.advance(1s);
            first.registry.renew();
            if (second_renews)
                second.registry.renew();
            first.refresh();
            first.escrow.tick();
        }
    }

    testing::table_state state;
    base::manual_clock clock;
    daemon first{state, clock, "d1"};
    daemon second{state, clock, "d2"};
};

} // namespace

// Guards against two daemons that use the same part of a limit, because one
// cannot reach the other and takes it for dead.
Test(request_escrow, keeps_parts_of_daemons_that_renew_their_rows)
{
    two_daemons cell;
    const auto part = cell.second.acquire_all();
    cr_assert_gt(part, 0);
    cell.first.dead = {"d2"};
    cell.pass(3 * reclaim_after, true);
    cr_expect_eq(cell.first.acquire_all(), limit - part);
}

// Guards against losing a part of a limit permanently with a daemon that held
// no hosts and was therefore not fenced by a new holder.
Test(request_escrow, reclaims_parts_of_dead_daemons_without_hosts)
{
    two_daemons cell;
    cell.first.dead = {"d2"};
    cell.pass(authority + reclaim_after - 1s, false);
    cr_expect_lt(cell.first.acquire_all(), limit);
    cell.pass(reclaim_after, false);
    cell.first.acquire_all();
    cr_expect_eq(cell.allocated(), limit);
    cr_expect(cell.first.holders.has_terminated("d2#1"));
}

// Guards against taking a daemon's new incarnation for a terminated one,
// because the copy of its row is older.
Test(request_escrow, recognizes_holders_newer_than_the_known_row)
{
    two_daemons cell;
    cr_assert_eq(
        cell.first.registry.fence(cell.first.registry.find("d2").value()),
        ports::commit_state::committed);
    cell.first.refresh();
    cr_expect(cell.first.holders.has_terminated("d2#1"));
    cr_expect_not(cell.first.holders.has_terminated("d2#2"));
    cell.second.registry.renew();
    cell.first.refresh();
    cr_expect(cell.first.holders.has_terminated("d2#1"));
    cr_expect_not(cell.first.holders.has_terminated("d2#2"));
}

// Guards against a daemon that transfers or keeps the part of its previous
// incarnation under its own name: the parts would exceed the limit.
Test(request_escrow, does_not_use_the_part_of_a_fenced_incarnation)
{
    enum class use : std::uint8_t
    {
        transfer,
        lower
    };
    for (const auto it : {use::transfer, use::lower})
    {
        two_daemons cell;
        cr_assert_eq(
            cell.first.registry.fence(cell.first.registry.find("d2").value()),
            ports::commit_state::committed);
        cell.second.registry.renew();
        cr_assert_eq(cell.second.registry.incarnation(), 2);
        if (it == use::transfer)
            cr_expect_eq(cell.second.escrow.transfer("t", "d1#1", 1), 0);
        else
            cell.set_limit(limit - 1);
        cell.second.escrow.tick();
        cr_expect_eq(cell.part_of("d2#2"), 0);
        cr_expect_leq(cell.allocated(), limit);
    }
}
