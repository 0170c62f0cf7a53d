#pragma once

#include <array>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "testing/model/incarnation_leader.hpp"

namespace mustardwick::dispatch::test
{

enum class action
{
    pass,
    /// The next call of a kind has the given fate.
    set_fate,
    /// The worker starts again; its former incarnation ends without a word.
    restart,
    crash,
    /// The registry learns of the present incarnation, or that there is none.
    notice,
    cut,
    reach,
    kill_leader,
    hand_over,
    /// A successor takes over while the former leader still has authority.
    supplant_leader,
    close_connections,
    slow_commit,
    submit,
    /// The store is unavailable, and new jobs are refused.
    outage
};

/// How the clock of the next incarnation begins.
enum class clock_start
{
    behind,
    slightly_ahead,
    far_ahead
};

struct call_event
{
    action what = action::pass;
    call_kind call = call_kind::start;
    fate_kind outcome = fate_kind::answered;
    clock_start clock = clock_start::behind;
    bool is_slow = false;
    /// Delay of the call, the commit or the successor.
    milliseconds delay{0};
    /// Time that passes after the event.
    milliseconds then{0};
};

/// What follows the events, until all tasks must have ended.
enum class ending
{
    /// The worker answers.
    answers,
    /// The worker is gone.
    gone,
    /// It is cut off for long enough that its tasks start elsewhere, and then
    /// answers.
    cut
};

struct event_sequence
{
    std::string queue = "plain";
    milliseconds run_time{2500};
    jobs::step step = make_step(1, 1);
    /// Duration of an advice query.
    milliseconds advice_delay = time_step;
    /// Time after which a refused job is handed in again.
    milliseconds return_delay{1000};
    bool has_second_worker_at_once = false;
    ending end = ending::answers;
    std::vector<call_event> events;
};

inline std::string to_text(const call_event& it)
{
    constexpr std::array<const char*, 14> actions = {"pass",
                                                     "set_fate",
                                                     "restart",
                                                     "crash",
                                                     "notice",
                                                     "cut",
                                                     "reach",
                                                     "kill_leader",
                                                     "hand_over",
                                                     "supplant_leader",
                                                     "close_connections",
                                                     "slow_commit",
                                                     "submit",
                                                     "outage"};
    constexpr std::array<const char*, 4> calls = {"start", "stop", "renewal",
                                                  "identification"};
    constexpr std::array<const char*, 6> fates = {
        "answered",    "answered_slowly",   "lost",
        "answer_lost", "answered_then_cut", "late"};
    constexpr std::array<const char*, 3> clocks = {"behind", "slightly_ahead",
                                                   "far_ahead"};
    std::ostringstream out;
    out << actions.at(std::size_t(it.what));
    if (it.what == action::set_fate)
        out << ' ' << calls.at(std::size_t(it.call)) << ' '
            << fates.at(std::size_t(it.outcome));
    if (it.what == action::restart)
        out << ' ' << clocks.at(std::size_t(it.clock))
            << (it.is_slow ? " slow" : "");
    if (it.delay.count() > 0)
        out << " delay=" << it.delay.count();
    out << " then=" << it.then.count();
    return out.str();
}

inline std::string to_text(const event_sequence& it)
{
    std::ostringstream out;
    out << "queue=" << it.queue << " run_time=" << it.run_time.count()
        << " second_worker_at_once=" << it.has_second_worker_at_once
        << " ending=" << int(it.end) << '\n';
    for (const auto& event : it.events)
        out << "  " << to_text(event) << '\n';
    return out.str();
}

/// @brief A cell of two workers: "w0" has the faults, on "w1" tasks can start
/// again.
class call_orders_cell
{
public:
    explicit call_orders_cell(const event_sequence& sequence)
        : sequence_(sequence)
    {
        base::set_up_log("test", base::log_level::error);
        cell_.queue = sequence.queue;
        cell_.advice_delay = sequence.advice_delay;
        add_worker("w0");
        if (sequence.has_second_worker_at_once)
            add_worker("w1");
        begin_leader();
        pass(milliseconds(300));
    }

    /// @brief Plays the events; returns what was broken.
    std::vector<std::string> play()
    {
        submit();
        for (const auto& it : sequence_.events)
        {
            apply(it);
            pass(it.then);
        }
        finish();
        return cell_.monitor.broken;
    }

    const std::vector<std::string>& late_starts() const
    {
        return cell_.monitor.late_starts;
    }

    std::size_t starts() const
    {
        return cell_.monitor.starts;
    }

    /// Time from the end of all faults until all tasks had ended.
    milliseconds recovery{0};
    int refusals = 0;

private:
    static constexpr milliseconds max_recovery{32'000};
    /// Time after which a late call has been carried out.
    static constexpr milliseconds settling{13'000};
    static constexpr milliseconds longest_cut{25'000};
    static constexpr std::int64_t clock_begin = 500'000;

    void add_worker(const std::string& id)
    {
        auto& it = cell_.workers[id];
        it = std::make_unique<worker_model>(id, cell_.clock, cell_.monitor);
        it->run_time = sequence_.run_time;
        it->begin(clock_begin, 1);
        cell_.registry[id] = it->born();
        if (leader_)
            leader_->listed(id, it->born());
    }

    worker_model& worker()
    {
        return *cell_.workers.at("w0");
    }

    void begin_leader()
    {
        epoch_ = jobs::next_epoch(epoch_);
        leaders_.push_back(std::make_unique<leader_model>(cell_, epoch_));
        leader_ = leaders_.back().get();
        is_changing_ = false;
        // A call may have been handed in while nobody led.
        for (const auto& [id, job] : cell_.jobs)
            if (!leader_->state().state_of(id))
                hand_in(job);
    }

    void hand_in(const jobs::job& job)
    {
        leader_->state().submit(
            job, [] {},
            [this, job]
            {
                ++refusals;
                cell_.events.after(sequence_.return_delay,
                                   [this, job]
                                   {
                                       if (leader_->is_active)
                                           hand_in(job);
                                   });
            });
    }

    void submit()
    {
        const auto id = "j" + std::to_string(cell_.jobs.size());
        cell_.jobs[id] = make_job(id, sequence_.queue, {sequence_.step});
        if (leader_->is_active)
            hand_in(cell_.jobs[id]);
    }

    void notice()
    {
        if (worker().is_up)
        {
            cell_.registry["w0"] = worker().born();
            if (leader_->is_active)
                leader_->listed("w0", worker().born());
            return;
        }
        cell_.registry.erase("w0");
        if (leader_->is_active)
            leader_->unlisted("w0");
    }

    void restart(const call_event& it)
    {
        constexpr std::array<std::int64_t, 3> offsets = {-400'000, 2000,
                                                         3'000'000};
        worker().begin(clock_begin + offsets.at(std::size_t(it.clock)),
                       it.is_slow ? 0.98 : 1);
    }

    void change_leader(milliseconds delay)
    {
        is_changing_ = true;
        cell_.events.after(delay,
                           [this]
                           {
                               begin_leader();
                           });
    }

    void apply(const call_event& it)
    {
        switch (it.what)
        {
        case action::pass:
            return;
        case action::set_fate:
            cell_.fates["w0"][it.call].push_back({it.outcome, it.delay});
            return;
        case action::restart:
            return restart(it);
        case action::crash:
            return worker().crash();
        case action::notice:
            return notice();
        case action::cut:
            worker().is_cut = true;
            return;
        case action::reach:
            worker().is_cut = false;
            return;
        case action::close_connections:
            return leader_->close_connections();
        case action::slow_commit:
            cell_.store_delay = it.delay;
            return;
        case action::submit:
            return submit();
        case action::outage:
            cell_.store_down_until = cell_.clock.now() + it.delay;
            return;
        case action::kill_leader:
        case action::hand_over:
        case action::supplant_leader:
            return replace_leader(it);
        }
    }

    void replace_leader(const call_event& it)
    {
        if (is_changing_)
            return;
        if (it.what == action::kill_leader || !leader_->is_active)
        {
            leader_->is_active = false;
            return change_leader(it.delay);
        }
        if (it.what == action::hand_over)
        {
            is_changing_ = true;
            return leader_->release(
                [this]
                {
                    begin_leader();
                });
        }
        auto* former = leader_;
        former->is_superseded = true;
        begin_leader();
        cell_.events.after(authority,
                           [former]
                           {
                               former->is_active = false;
                           });
    }

    void pass(milliseconds time)
    {
        for (milliseconds it{0}; it < time; it += time_step)
        {
            cell_.clock.advance(time_step);
            for (auto& [id, worker] : cell_.workers)
                worker->advance();
            cell_.events.run_due();
            for (auto& leader : leaders_)
                leader->work();
            if (++steps_ == second_worker_step && cell_.workers.size() < 2)
                add_worker("w1");
        }
    }

    bool is_completed()
    {
        for (const auto& [id, job] : cell_.jobs)
            if (leader_->state().state_of(id) != jobs::job_state::completed)
                return false;
        return leader_->is_active;
    }

    void finish()
    {
        cell_.fates["w0"].clear();
        cell_.store_delay = time_step;
        while ((is_changing_ || cell_.workers.size() < 2) &&
               recovery < max_recovery)
        {
            pass(time_step);
            recovery += time_step;
        }
        recovery = {};
        if (sequence_.end == ending::cut)
        {
            worker().is_cut = true;
            pass(longest_cut);
        }
        worker().is_cut = false;
        if (sequence_.end == ending::gone)
            worker().crash();
        else if (!worker().is_up)
            worker().begin(clock_begin, 1);
        notice();
        while (!is_completed() && recovery < max_recovery + sequence_.run_time)
        {
            pass(time_step);
            recovery += time_step;
        }
        if (!is_completed())
            cell_.monitor.broken.emplace_back(
                "a task has not been run to its end");
        pass(settling);
    }

    static constexpr milliseconds authority{2400};
    static constexpr int second_worker_step = 40;

    event_sequence sequence_;
    cell_surroundings cell_;
    std::vector<std::unique_ptr<leader_model>> leaders_;
    leader_model* leader_ = nullptr;
    std::int64_t epoch_ = 0;
    bool is_changing_ = false;
    int steps_ = 0;
};

/// @brief Returns a shorter sequence that breaks a rule as well.
inline event_sequence shrink(event_sequence sequence)
{
    const auto fails = [](const event_sequence& it)
    {
        return !call_orders_cell(it).play().empty();
    };
    for (std::size_t at = 0; at < sequence.events.size();)
    {
        auto shorter = sequence;
        const auto then = shorter.events[at].then;
        shorter.events.erase(shorter.events.begin() + std::ptrdiff_t(at));
        if (fails(shorter))
        {
            sequence = std::move(shorter);
            continue;
        }
        shorter = sequence;
        shorter.events[at].then = milliseconds(0);
        if (then.count() > 0 && fails(shorter))
            sequence = std::move(shorter);
        ++at;
    }
    return sequence;
}

/// @brief Draws a sequence of events.
inline event_sequence draw_sequence(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto below = [&random](std::uint64_t n)
    {
        return random() % n;
    };
    event_sequence out;
    out.queue = below(4) == 0 ? "asked" : "plain";
    // Runs that outlast a lease show when their worker ends them.
    out.run_time = milliseconds(below(2) == 0 ? 500 + 500 * below(8) : 9000);
    out.has_second_worker_at_once = below(4) == 0;
    out.end = ending(below(3));
    constexpr std::array<action, 20> actions = {
        action::set_fate,    action::set_fate,
        action::set_fate,    action::set_fate,
        action::set_fate,    action::set_fate,
        action::restart,     action::restart,
        action::restart,     action::crash,
        action::notice,      action::cut,
        action::cut,         action::reach,
        action::kill_leader, action::hand_over,
        action::submit,      action::supplant_leader,
        action::slow_commit, action::close_connections};
    if (below(2) == 0)
    {
        call_event first;
        first.what = action::set_fate;
        first.outcome = fate_kind(1 + below(5));
        first.delay = milliseconds(
            first.outcome == fate_kind::late ? 2000 + 500 * below(21) : 600);
        first.then = milliseconds(250 * below(8));
        out.events.push_back(first);
    }
    int restarts = 0;
    const auto length = 3 + below(10);
    while (out.events.size() < length)
    {
        call_event it;
        it.what = actions.at(below(actions.size()));
        if (it.what == action::restart && ++restarts > 2)
            continue;
        it.call = call_kind(below(4));
        it.outcome = fate_kind(1 + below(5));
        it.clock = clock_start(below(3));
        it.is_slow = below(2) == 0;
        if (it.what == action::set_fate && it.outcome == fate_kind::late)
            it.delay = milliseconds(2000 + 500 * below(21));
        else if (it.what == action::set_fate &&
                 it.outcome == fate_kind::answered_slowly)
            it.delay = milliseconds(100 + 100 * below(7));
        else if (it.what == action::kill_leader)
            it.delay = milliseconds(500 * below(6));
        else if (it.what == action::slow_commit)
            it.delay = milliseconds(200 + 200 * below(8));
        constexpr std::array<std::int64_t, 3> steps = {50, 100, 500};
        const auto step = steps.at(below(3));
        it.then = milliseconds(step * below(step == 500 ? 13 : 8));
        out.events.push_back(it);
    }
    return out;
}

} // namespace mustardwick::dispatch::test
