#include <criterion/criterion.h>

#include "testing/model/lease_fixture.hpp"

using namespace mustardwick;
using namespace mustardwick::coordination;
using namespace mustardwick::testing;

namespace
{

const std::vector<std::string> hosts = {"w0", "w1", "w2", "w3", "w4", "w5"};

/// Commits the member row of daemon "x" and makes it the holder of all hosts.
void hold_all(lease_fixture& cell, std::uint64_t incarnation)
{
    member_record x;
    x.name = "x";
    x.incarnation = incarnation;
    cell.write(member_key("x"), to_row(x));
    for (const auto& it : hosts)
        cell.write(holder_key(it), to_row(holder_record{"x", incarnation}));
}

int hosts_of(lease_fixture& cell, const std::string& daemon)
{
    int out = 0;
    for (const auto& it : hosts)
        out += cell.holder_of(it) == daemon ? 1 : 0;
    return out;
}

enum class known_row
{
    absent,
    fenced,
    earlier_incarnation
};

struct holder_case
{
    const char* name;
    known_row known;
};

} // namespace

// Guards against running a task twice: a daemon whose copy of the member rows
// was outdated took hosts from a live holder without fencing it, so that the
// holder went on renewing the leases of workers reported as empty.
Test(worker_leases, takes_no_host_on_an_outdated_copy_of_the_member_rows)
{
    const holder_case cases[] = {
        {"registered since", known_row::absent},
        {"registered again", known_row::fenced},
        {"restarted", known_row::earlier_incarnation},
    };
    for (const auto& it : cases)
    {
        lease_fixture cell(hosts);
        member_record x;
        x.name = "x";
        x.incarnation = 1;
        x.fenced = it.known == known_row::fenced;
        if (it.known != known_row::absent)
            cell.write(member_key("x"), to_row(x));
        cell.registry.refresh();
        hold_all(cell, 2);
        cell.run(base::milliseconds{2000});
        cr_expect_eq(hosts_of(cell, "x"), int(hosts.size()), "%s", it.name);
    }
}

// Guards against hosts without a holder: those of a daemon that is gone.
Test(worker_leases, takes_the_hosts_of_a_daemon_that_is_gone)
{
    struct gone_case
    {
        const char* name;
        /// Member row of the holder, incarnation 2; 0 when it is deleted.
        std::uint64_t incarnation;
        bool fenced;
        bool dead;
    };
    const gone_case cases[] = {
        {"row deleted", 0, false, false},
        {"fenced", 2, true, false},
        {"dead", 2, false, true},
        {"restarted", 3, false, false},
        {"registered anew after its row was deleted", 1, false, false},
    };
    for (const auto& it : cases)
    {
        lease_fixture cell(hosts);
        hold_all(cell, 2);
        member_record x;
        x.name = "x";
        x.incarnation = it.incarnation;
        x.fenced = it.fenced;
        if (it.incarnation == 0)
            cell.table.commit({"t", {}, {}, {member_key("x")}});
        else
            cell.write(member_key("x"), to_row(x));
        if (it.dead)
            cell.dead.insert("x");
        cell.registry.refresh();
        cell.run(base::milliseconds{2000});
        // A live daemon keeps the hosts that are assigned to it.
        std::set<std::string> expected;
        for (const auto& host : hosts)
            if (choose_member(host, cell.view.live_members()) == "a")
                expected.insert(host);
        cr_assert_not(expected.empty());
        for (const auto& host : expected)
            cr_expect_eq(cell.holder_of(host), "a", "%s %s", it.name,
                         host.c_str());
        const auto row = cell.table.read(member_key("x"));
        cr_expect(!it.dead || parse_member(row->value)->fenced);
    }
}
