#include "mustardwick/entry/worker_links.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <criterion/criterion.h>

#include "mustardwick/aio/http_listener.hpp"
#include "mustardwick/base/error.hpp"
#include "src/mustardwick/aio/guard_test.hpp"
#include "src/mustardwick/dispatch/planner_fixture_test.hpp"

using namespace mustardwick;
using namespace mustardwick::dispatch::test;
using namespace mustardwick::entry;
using std::chrono::milliseconds;

namespace
{

/// A worker that answers each renewal at once with the same end.
std::string report_of_an_end(const planner_fixture& cell)
{
    return R"({"clock_ms":)" + std::to_string(cell.worker_clock()) +
           R"(,"born":)" + std::to_string(incarnation_start) +
           R"(,"running":[],"finished":[[1,"j.0.0.0",1,"done",""]]})";
}

std::shared_ptr<worker_links> make_links(boost::asio::io_context& io,
                                         planner_fixture& cell)
{
    return std::make_shared<worker_links>(io, cell.clock, cell.metrics,
                                          cell.plan, 1,
                                          worker_links::events{[] {}, [] {},
                                                               []
                                                               {
                                                                   return true;
                                                               }});
}

enum class path_fault
{
    refuses,
    resets,
    silent
};

/// The address of a worker that runs on behind a faulty network path.
class faulty_path
{
public:
    faulty_path(boost::asio::io_context& io, std::uint16_t port,
                path_fault fault)
        : acceptor_(io)
    {
        if (fault == path_fault::refuses)
            return;
        const boost::asio::ip::tcp::endpoint where(
            boost::asio::ip::make_address("127.0.0.1"), port);
        acceptor_.open(where.protocol());
        acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
        acceptor_.bind(where);
        acceptor_.listen();
        if (fault == path_fault::resets)
            reset_next();
    }

private:
    void reset_next()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code ec,
                   boost::asio::ip::tcp::socket socket)
            {
                if (ec)
                    return;
                // Closing with a linger time of 0 resets the connection.
                socket.set_option(boost::asio::socket_base::linger(true, 0));
                socket.close();
                reset_next();
            });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
};

struct path_case
{
    const char* name;
    path_fault fault;
    std::uint16_t port;
};

} // namespace

// Guards against running a task twice because its worker's network path refuses
// or resets connections while the worker runs on, and against waiting for as
// long as the path is faulty because each attempt to renew extends the lease.
Test(worker_links, keeps_runs_behind_a_path_that_rejects_connections)
{
    const path_case cases[] = {
        {"refuses", path_fault::refuses, 27433},
        {"resets", path_fault::resets, 27435},
        {"silent", path_fault::silent, 27437},
    };
    for (const auto& it : cases)
    {
        planner_fixture cell(2);
        cell.submit(make_job("j", "plain", {make_step(1, 1)}));
        const auto order = cell.run_round().starts.at(0);
        cr_assert(cell.plan.lease_deadline(order.worker).has_value());
        boost::asio::io_context io;
        const faulty_path path(io, it.port, it.fault);
        const auto links = make_links(io, cell);
        jobs::worker_info info;
        info.id = order.worker;
        info.address = {"127.0.0.1", it.port};
        links->listed(info);
        io.run_for(milliseconds(1500));
        cr_assert(cell.round().starts.empty(), "%s", it.name);
        // Other workers take the task over once the lease has ended, although
        // the links go on trying to renew it.
        cell.plan.worker_unresponsive(order.worker);
        cell.clock.advance(milliseconds(6500));
        io.run_for(milliseconds(1100));
        const auto again = cell.round().starts;
        cr_assert_eq(again.size(), 1, "%s", it.name);
        cr_assert_neq(again[0].worker, order.worker, "%s", it.name);
        links->stop();
        io.run_for(milliseconds(10));
    }
}

// Guards against repeated renewals while the effect of a reported end is not
// yet committed: the worker answers each at once with the same end, and every
// renewal is charged (22,401 renewals for 13,000 ends).
Test(worker_links, renews_rarely_until_an_end_is_persisted)
{
    planner_fixture cell(1);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    cell.run_round();
    boost::asio::io_context io;
    const wire::endpoint address{"127.0.0.1", 27431};
    int renewals = 0;
    aio::http_listener listener(
        io, address, "Deadline-Ms", aio::test::ample_guard(),
        [&](const auto&, auto respond)
        {
            ++renewals;
            respond({200, report_of_an_end(cell), "application/json", {}});
        });
    cr_assert(listener.start(), "%s", base::last_error().text().c_str());
    const auto links = make_links(io, cell);
    jobs::worker_info info;
    info.id = "w0";
    info.address = address;
    links->listed(info);
    io.run_for(milliseconds(450));
    cr_assert_geq(renewals, 2);
    cr_assert_leq(renewals, 6);
    // Once the effect is committed, the end is acknowledged without delay.
    cell.commit();
    cr_assert_eq(cell.plan.acknowledged_end("w0"), 1);
    renewals = 0;
    io.run_for(milliseconds(60));
    cr_assert_geq(renewals, 1);
    links->stop();
    io.run_for(milliseconds(10));
}
