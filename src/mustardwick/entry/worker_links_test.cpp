#include "mustardwick/entry/worker_links.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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
                                          cell.plan, jobs::next_epoch(0),
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

std::int64_t token_of(const std::string& body)
{
    const std::string field = "\"fencing_token\":";
    const auto it = body.find(field);
    cr_assert_neq(it, std::string::npos, "%s", body.c_str());
    return std::stoll(body.substr(it + field.size()));
}

/// A worker that starts again under its id without a trace on the network: the
/// renewal under way stays open, and the new incarnation takes any call.
class restarting_worker
{
public:
    struct received_call
    {
        std::int64_t incarnation;
        std::string target;
        std::string body;
    };

    restarting_worker(boost::asio::io_context& io, std::uint16_t port)
        : where({"127.0.0.1", port}),
          listener_(io, where, "Deadline-Ms", aio::test::ample_guard(),
                    [this](const auto& request, const auto& respond)
                    {
                        handle(request, respond);
                    })
    {
        cr_assert(listener_.start(), "%s", base::last_error().text().c_str());
    }

    /// From now on each answer closes its connection.
    void close_connections()
    {
        listener_.begin_drain();
    }

    void start_again()
    {
        ++incarnation_;
        // The new clock is far behind the former one.
        clock_ms_ = 10;
    }

    /// Answers the renewals that wait, at a later time of the worker's clock.
    void end_waits_after(milliseconds time)
    {
        clock_ms_ += time.count();
        for (const auto& respond : std::exchange(waiting_, {}))
            report(respond);
    }

    std::int64_t incarnation() const
    {
        return incarnation_;
    }

    jobs::worker_info info() const
    {
        jobs::worker_info out;
        out.id = "w0";
        out.service = "s";
        out.address = where;
        out.capacity = {host_cores * 1000, 64'000, 0};
        out.incarnation_start_ms = incarnation_;
        return out;
    }

    std::size_t count(std::string_view target, std::int64_t incarnation) const
    {
        return std::count_if(calls.begin(), calls.end(),
                             [&](const auto& it)
                             {
                                 return it.target == target &&
                                        it.incarnation == incarnation;
                             });
    }

    wire::endpoint where;
    std::vector<received_call> calls;

private:
    void handle(const aio::incoming_request& request,
                const aio::responder& respond)
    {
        calls.push_back({incarnation_, request.target, request.body});
        if (request.body.find("wait_ms") != std::string::npos)
            return waiting_.push_back(respond);
        report(respond);
    }

    void report(const aio::responder& respond)
    {
        respond({200,
                 R"({"clock_ms":)" + std::to_string(++clock_ms_) +
                     R"(,"born":)" + std::to_string(incarnation_) +
                     R"(,"running":[],"finished":[]})",
                 "application/json",
                 {}});
    }

    std::int64_t incarnation_ = incarnation_start;
    std::int64_t clock_ms_ = 1'000'000;
    std::vector<aio::responder> waiting_;
    aio::http_listener listener_;
};

/// Lists a worker and lets it answer the first renewal.
void connect(boost::asio::io_context& io, planner_fixture& cell,
             worker_links& links, const restarting_worker& worker)
{
    cell.plan.worker_listed(worker.info());
    links.listed(worker.info());
    io.run_for(milliseconds(200));
}

/// A worker that handles one call only after the identification that follows
/// it, as calls on different connections can overtake each other.
class overtaking_worker
{
public:
    enum class delayed_call
    {
        identification,
        renewal
    };

    overtaking_worker(boost::asio::io_context& io, std::uint16_t port,
                      delayed_call delayed)
        : delayed_(delayed),
          listener_(io, {"127.0.0.1", port}, "Deadline-Ms",
                    aio::test::ample_guard(),
                    [this](const auto& request, const auto& respond)
                    {
                        handle(request, respond);
                    })
    {
        cr_assert(listener_.start(), "%s", base::last_error().text().c_str());
    }

    std::size_t starts = 0;
    std::size_t refused = 0;

private:
    void handle(const aio::incoming_request& request,
                const aio::responder& respond)
    {
        const auto token = token_of(request.body);
        const bool is_start = request.target == "/v1/run-start";
        const bool waits = request.body.find("wait_ms") != std::string::npos;
        const bool identifies = !is_start && !waits;
        identifications_ += identifies ? 1 : 0;
        starts += is_start ? 1 : 0;
        // The first one is that of the connection for renewals.
        const bool is_delayed = delayed_ == delayed_call::renewal
                                    ? waits
                                    : identifies && identifications_ == 2;
        if (is_delayed && !held_ && refused == 0)
        {
            held_ = [this, token, respond]
            {
                carry_out(token, respond);
            };
            return;
        }
        if (waits)
        {
            highest_ = std::max(highest_, token);
            return waiting_.push_back(respond);
        }
        carry_out(token, respond);
        if (identifies && held_)
            std::exchange(held_, nullptr)();
    }

    void carry_out(std::int64_t token, const aio::responder& respond)
    {
        const bool is_refused = token < highest_;
        refused += is_refused ? 1 : 0;
        highest_ = std::max(highest_, token);
        respond({is_refused ? 409 : 200,
                 is_refused ? R"({"clock_ms":1000500,"reason":"fence"})"
                            : R"({"clock_ms":1000500,"born":)" +
                                  std::to_string(incarnation_start) +
                                  R"(,"running":[],"finished":[]})",
                 "application/json",
                 {}});
    }

    delayed_call delayed_;
    std::int64_t highest_ = 0;
    int identifications_ = 0;
    std::function<void()> held_;
    std::vector<aio::responder> waiting_;
    aio::http_listener listener_;
};

struct overtaken_case
{
    const char* name;
    overtaking_worker::delayed_call delayed;
    std::uint16_t port;
};

struct connection_case
{
    const char* name;
    bool closes;
    std::uint16_t port;
    /// With the identifications of connections.
    std::size_t calls;
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

// Guards against running a task twice because its worker started again between
// two reports: the new incarnation took an order whose deadline was on the
// clock of the former one, and held the run's lease for longer than the leader
// knew (issue 48).
Test(worker_links, gives_no_order_to_another_incarnation_than_was_meant)
{
    planner_fixture cell(1);
    boost::asio::io_context io;
    restarting_worker worker(io, 27439);
    const auto links = make_links(io, cell);
    connect(io, cell, *links, worker);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    const auto order = cell.round().starts.at(0);
    const auto former = worker.incarnation();
    worker.start_again();
    links->deliver({{order}, {}, {}});
    io.run_for(milliseconds(300));
    cr_assert_eq(worker.count("/v1/run-start", former), 0);
    cr_assert_eq(worker.count("/v1/run-start", worker.incarnation()), 0);
    // The leader learns of the new incarnation at once.
    cr_assert_eq(cell.plan.hosts().at("w0").incarnation_start_ms,
                 worker.incarnation());
    links->stop();
    io.run_for(milliseconds(10));
}

// Guards against running a task twice because a call that was meant for a
// worker's former incarnation was carried out late: it lengthened the lease of
// the new incarnation, or made it forget ends that were never applied (issue
// 48). The worker ignores calls with a lower fencing token.
Test(worker_links, void_calls_of_a_former_incarnation)
{
    planner_fixture cell(1);
    boost::asio::io_context io;
    restarting_worker worker(io, 27457);
    const auto links = make_links(io, cell);
    links->listed(worker.info());
    io.run_for(milliseconds(200));
    const auto former = worker.incarnation();
    worker.start_again();
    io.run_for(milliseconds(3300));
    std::int64_t highest = 0;
    auto lowest = std::numeric_limits<std::int64_t>::max();
    for (const auto& it : worker.calls)
        if (it.incarnation == former)
            highest = std::max(highest, token_of(it.body));
        else
            lowest = std::min(lowest, token_of(it.body));
    cr_assert_gt(worker.count("/v1/hold", former), 0);
    cr_assert_gt(worker.count("/v1/hold", worker.incarnation()), 0);
    cr_assert_gt(lowest, highest);
    links->stop();
    io.run_for(milliseconds(10));
}

// Guards against a leader that steps down because a worker which was dropped
// and is listed again refuses tokens that it has seen before (issue 48).
Test(worker_links, uses_no_token_again_when_a_worker_returns)
{
    planner_fixture cell(1);
    boost::asio::io_context io;
    const auto links = make_links(io, cell);
    std::int64_t highest = 0;
    for (int visit = 0; visit < 2; ++visit)
    {
        std::optional<restarting_worker> worker;
        worker.emplace(io, 27459);
        io.restart();
        links->listed(worker->info());
        io.run_for(milliseconds(200));
        cr_assert_geq(worker->calls.size(), 2);
        for (const auto& it : worker->calls)
            cr_assert_gt(token_of(it.body), highest);
        for (const auto& it : worker->calls)
            highest = std::max(highest, token_of(it.body));
        links->unlisted("w0");
        worker.reset();
        // Until it is dropped, after three attempts.
        io.run_for(milliseconds(3500));
    }
    links->stop();
    io.run_for(milliseconds(10));
}

// Guards against a start that is given up, and a worker that counts as
// unresponsive, because an identification of the same leader with a higher
// token has overtaken a call (review of issue 48).
Test(worker_links, repeat_calls_that_an_identification_has_overtaken)
{
    const overtaken_case cases[] = {
        {"identification", overtaking_worker::delayed_call::identification,
         27497},
        {"renewal", overtaking_worker::delayed_call::renewal, 27499},
    };
    for (const auto& it : cases)
    {
        planner_fixture cell(1);
        boost::asio::io_context io;
        overtaking_worker worker(io, it.port, it.delayed);
        const auto links = make_links(io, cell);
        jobs::worker_info info;
        info.id = "w0";
        info.service = "s";
        info.address = {"127.0.0.1", it.port};
        info.capacity = {host_cores * 1000, 64'000, 0};
        cell.plan.worker_listed(info);
        links->listed(info);
        io.run_for(milliseconds(200));
        cell.submit(make_job("j", "plain", {make_step(2, 1)}));
        const auto orders = cell.round();
        cr_assert_eq(orders.starts.size(), 2, "%s", it.name);
        links->deliver({orders.starts, {}, {}});
        for (int n = 0; n < 10; ++n)
        {
            io.run_for(milliseconds(20));
            cr_assert(cell.plan.hosts().at("w0").reachable, "%s", it.name);
        }
        cr_assert_gt(worker.refused, 0, "%s", it.name);
        cr_assert_eq(worker.starts, 2, "%s: %zu starts, %zu refused", it.name,
                     worker.starts, worker.refused);
        links->stop();
        io.run_for(milliseconds(10));
    }
}

// Guards against a worker that counts as unresponsive after it has started
// again, because each order that was decided before asks it for a report
// (review of issue 48).
Test(worker_links, ask_a_restarted_worker_once)
{
    planner_fixture cell(1);
    boost::asio::io_context io;
    restarting_worker worker(io, 27495);
    const auto links = make_links(io, cell);
    connect(io, cell, *links, worker);
    cell.submit(make_job("j", "plain", {make_step(8, 1)}));
    const auto orders = cell.round();
    cr_assert_eq(orders.starts.size(), 8);
    worker.start_again();
    worker.calls.clear();
    links->deliver({orders.starts, {}, {}});
    for (int n = 0; n < 15; ++n)
    {
        io.run_for(milliseconds(100));
        cr_assert(cell.plan.hosts().at("w0").reachable, "%d", n);
    }
    // Three connections are identified, a report is asked for, and the lease is
    // renewed.
    cr_assert_leq(worker.calls.size(), 6);
    links->stop();
    io.run_for(milliseconds(10));
}

// Guards against a task that waits for a renewal without news when its order
// can have no effect any more (LOST), and against one that starts again after
// the answer to an earlier renewal (TWICE, issue 51).
Test(worker_links, settle_an_order_by_a_renewal_that_is_sent_after_its_bound)
{
    planner_fixture cell(1);
    boost::asio::io_context io;
    restarting_worker worker(io, 27505);
    const auto links = make_links(io, cell);
    connect(io, cell, *links, worker);
    cell.submit(make_job("j", "plain", {make_step(1, 1)}));
    const auto order = cell.round().starts.at(0);
    cell.plan.start_answered(order, {jobs::order_result::unknown, 0});
    const auto renew_after = [&](milliseconds time)
    {
        cell.clock.advance(time);
        worker.calls.clear();
        worker.end_waits_after(time);
        io.run_for(milliseconds(150));
        cr_assert_not(worker.calls.empty());
        return worker.calls.back().body;
    };
    const auto has_wait = [](const std::string& body)
    {
        return body.find("wait_ms") != std::string::npos;
    };
    const auto is_settled = [&]
    {
        cell.plan.drop_settled_orders();
        return cell.settled().except.empty();
    };
    // The order has expired, and its run is given up.
    renew_after(milliseconds(5000));
    const auto last = renew_after(milliseconds(7700));
    cr_assert_neq(last.find("\"wait_ms\":345"), std::string::npos, "%s",
                  last.c_str());
    cr_assert_not(is_settled());
    const auto after = renew_after(milliseconds(400));
    cr_assert(has_wait(after), "%s", after.c_str());
    cr_assert(is_settled());
    const auto asked = worker.calls.front().body;
    cr_assert_not(has_wait(asked), "%s", asked.c_str());
    links->stop();
    io.run_for(milliseconds(10));
}

// Guards against a worker that closes its connection after each answer and gets
// no work, and against more calls to one that keeps its connections.
Test(worker_links, give_work_to_a_worker_that_closes_its_connections)
{
    const connection_case cases[] = {
        {"keeps", false, 27501, 4},
        {"closes", true, 27503, 4},
    };
    for (const auto& it : cases)
    {
        planner_fixture cell(1);
        boost::asio::io_context io;
        restarting_worker worker(io, it.port);
        if (it.closes)
            worker.close_connections();
        const auto links = make_links(io, cell);
        connect(io, cell, *links, worker);
        cell.submit(make_job("j", "plain", {make_step(1, 1)}));
        const auto order = cell.round().starts.at(0);
        links->deliver({{order}, {}, {}});
        io.run_for(milliseconds(300));
        cr_expect_eq(worker.count("/v1/run-start", worker.incarnation()), 1,
                     "%s", it.name);
        cr_expect_eq(worker.calls.size(), it.calls, "%s: %zu", it.name,
                     worker.calls.size());
        const auto& runs = cell.plan.hosts().at("w0").runs;
        cr_assert_eq(runs.size(), 1, "%s", it.name);
        // The run may be one of another incarnation until a report lists it.
        cr_expect_eq(runs.begin()->second.outstanding_until.has_value(),
                     it.closes, "%s", it.name);
        links->stop();
        io.run_for(milliseconds(10));
    }
}
