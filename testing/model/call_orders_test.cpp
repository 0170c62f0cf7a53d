#include "testing/model/call_orders_cell.hpp"

#include <array>
#include <cstdlib>
#include <iostream>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::dispatch;
using namespace mustardwick::dispatch::test;

namespace
{

std::uint64_t number_of(const char* variable, std::uint64_t otherwise)
{
    const auto* text = std::getenv(variable);
    return text != nullptr ? std::strtoull(text, nullptr, 10) : otherwise;
}

/// Prints a failing sequence and the shortest one found that fails as well.
void explain(const std::string& name, const event_sequence& sequence,
             const std::vector<std::string>& broken)
{
    std::ostringstream out;
    out << name << '\n' << to_text(sequence);
    for (const auto& it : broken)
        out << "  broken: " << it << '\n';
    const auto shorter = shrink(sequence);
    out << "reduced: " << to_text(shorter);
    for (const auto& it : call_orders_cell(shorter).play())
        out << "  broken: " << it << '\n';
    std::cerr << out.str();
}

/// Counts sequences and what they break.
class sequence_counts
{
public:
    void play(const std::string& of, const event_sequence& sequence)
    {
        const auto name = of + " sequence=" + std::to_string(++played_);
        call_orders_cell cell(sequence);
        const auto broken = cell.play();
        starts += cell.starts();
        late_starts += cell.late_starts().size();
        recovery_ = std::max(recovery_, cell.recovery);
        if (broken.empty())
            return;
        ++failed;
        if (failed <= number_of("CALL_ORDERS_SHOWN", 1))
            explain(name, sequence, broken);
        else if (failed <= max_listed)
            std::cerr << name << " broken: " << broken.front() << '\n';
    }

    void print() const
    {
        std::cerr << "sequences=" << played_ << " failed=" << failed
                  << " starts=" << starts << " late_starts=" << late_starts
                  << " longest_recovery_ms=" << recovery_.count() << '\n';
    }

    std::uint64_t failed = 0;
    std::size_t starts = 0;
    std::size_t late_starts = 0;

private:
    static constexpr std::uint64_t max_listed = 100;

    std::uint64_t played_ = 0;
    milliseconds recovery_{0};
};

call_event fate_of(call_kind call, fate_kind what, milliseconds delay = {})
{
    call_event out;
    out.what = action::set_fate;
    out.call = call;
    out.outcome = what;
    out.delay = delay;
    return out;
}

call_event after(action what, milliseconds then, milliseconds delay = {})
{
    call_event out;
    out.what = what;
    out.then = then;
    out.delay = delay;
    return out;
}

call_event restart_with(clock_start clock, milliseconds then)
{
    auto out = after(action::restart, then);
    out.clock = clock;
    return out;
}

constexpr milliseconds short_time{300};
constexpr milliseconds longest_delay{12'000};

/// The events of which all short sequences are played.
const std::vector<call_event>& enumerated_events()
{
    static const std::vector<call_event> out = {
        restart_with(clock_start::behind, short_time),
        restart_with(clock_start::far_ahead, short_time),
        after(action::cut, short_time),
        after(action::reach, short_time),
        after(action::notice, short_time),
        after(action::kill_leader, short_time, milliseconds(500)),
        after(action::hand_over, short_time),
        fate_of(call_kind::renewal, fate_kind::late, milliseconds(4000)),
        fate_of(call_kind::renewal, fate_kind::answered_then_cut),
        after(action::pass, milliseconds(1500)),
        after(action::pass, milliseconds(5000)),
    };
    return out;
}

struct order_case
{
    const char* name;
    const char* queue;
    milliseconds run_time;
    /// Fates of the first calls.
    std::vector<call_event> fates;
};

/// Plays all sequences of a length that begin with the given one.
void play_all(sequence_counts& counts, const std::string& name,
              event_sequence& sequence, std::size_t length)
{
    if (length == 0)
    {
        for (const auto end : {ending::answers, ending::gone, ending::cut})
        {
            sequence.end = end;
            counts.play(name, sequence);
        }
        return;
    }
    for (const auto& it : enumerated_events())
    {
        sequence.events.push_back(it);
        play_all(counts, name, sequence, length - 1);
        sequence.events.pop_back();
    }
}

} // namespace

// Guards against tasks that run twice, or never again, after faults in an order
// that nobody has thought of (issues 48 and 51).
Test(call_orders, drawn_by_seed_break_no_rule)
{
    const auto first = number_of("CALL_ORDERS_SEED", 1);
    const auto seeds = number_of("CALL_ORDERS_SEEDS", 10000);
    sequence_counts counts;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
        counts.play("seed=" + std::to_string(seed), draw_sequence(seed));
    counts.print();
    cr_assert_eq(counts.failed, 0);
    cr_assert_eq(counts.late_starts, 0);
    cr_assert_gt(counts.starts, seeds);
}

// Guards against the same, without gaps: whichever of these events follow each
// other after an order.
Test(call_orders, enumerated_break_no_rule)
{
    using std::chrono::seconds;
    const auto length = number_of("CALL_ORDERS_LENGTH", 3);
    const std::array cases = {
        order_case{"answered", "plain", seconds(9), {}},
        order_case{"answer lost",
                   "plain",
                   seconds(9),
                   {fate_of(call_kind::start, fate_kind::answer_lost)}},
        order_case{"lost",
                   "plain",
                   seconds(2),
                   {fate_of(call_kind::start, fate_kind::lost)}},
        order_case{"late",
                   "plain",
                   seconds(9),
                   {fate_of(call_kind::start, fate_kind::late, seconds(3))}},
        order_case{"as late as possible",
                   "plain",
                   seconds(9),
                   {fate_of(call_kind::start, fate_kind::late, longest_delay)}},
        order_case{"late, with a ticket",
                   "asked",
                   seconds(9),
                   {fate_of(call_kind::start, fate_kind::late, seconds(3))}},
        order_case{"answer lost, with a ticket",
                   "asked",
                   seconds(9),
                   {fate_of(call_kind::start, fate_kind::answer_lost)}},
    };
    sequence_counts counts;
    for (const auto& it : cases)
    {
        event_sequence sequence;
        sequence.queue = it.queue;
        sequence.run_time = it.run_time;
        sequence.events = it.fates;
        play_all(counts, it.name, sequence, length);
    }
    counts.print();
    cr_assert_eq(counts.failed, 0);
    cr_assert_eq(counts.late_starts, 0);
}

// Guards against a run that outlasts the lease that the leader knows: a new
// incarnation has carried out its order late, and is cut off after its first
// report, before its lease could be renewed (TWICE).
Test(call_orders, that_lengthen_the_lease_of_a_new_incarnation_are_counted)
{
    for (const milliseconds late : {milliseconds(3000), milliseconds(3500)})
        for (milliseconds back{2000}; back <= milliseconds(5000);
             back += milliseconds(100))
        {
            event_sequence sequence;
            sequence.run_time = milliseconds(9000);
            sequence.end = ending::cut;
            sequence.events = {
                fate_of(call_kind::start, fate_kind::late, late),
                after(action::pass, milliseconds(600)),
                after(action::cut, milliseconds(400)),
                restart_with(clock_start::behind, back),
                fate_of(call_kind::renewal, fate_kind::answered_then_cut),
                after(action::reach, short_time)};
            sequence_counts counts;
            counts.play("back after " + std::to_string(back.count()), sequence);
            cr_assert_eq(counts.failed, 0);
            cr_assert_eq(counts.late_starts, 0);
        }
}

struct late_case
{
    const char* name;
    ending end;
    std::vector<call_event> events;
};

// Guards against an order that a restarted worker carries out as its first call
// although its task has been started again on the same worker: beside the later
// run, or after that has ended as done (TWICE).
Test(late_starts, follow_no_later_run_of_their_task)
{
    using std::chrono::seconds;
    const std::array cases = {
        late_case{
            "acknowledged end",
            ending::gone,
            {fate_of(call_kind::start, fate_kind::late, milliseconds(6500)),
             after(action::pass, seconds(5)),
             restart_with(clock_start::behind, milliseconds(2500))}},
        late_case{
            "later run is late as well",
            ending::cut,
            {fate_of(call_kind::start, fate_kind::late, milliseconds(5000)),
             fate_of(call_kind::start, fate_kind::late, milliseconds(3500)),
             after(action::pass, milliseconds(2500)),
             after(action::cut, milliseconds(300)),
             restart_with(clock_start::behind, milliseconds(1500))}},
    };
    std::size_t failed = 0;
    for (const auto& it : cases)
    {
        event_sequence sequence;
        sequence.run_time = seconds(2);
        sequence.end = it.end;
        sequence.events = it.events;
        call_orders_cell cell(sequence);
        auto broken = cell.play();
        broken.insert(broken.end(), cell.late_starts().begin(),
                      cell.late_starts().end());
        failed += broken.empty() ? 0 : 1;
        for (const auto& text : broken)
            std::cerr << it.name << " broken: " << text << '\n';
    }
    cr_assert_eq(failed, 0);
}

// Guards against a bound that counts the delay of an order from its release:
// the call may wait for its connection before it is sent (TWICE).
Test(late_starts, may_have_waited_for_a_connection)
{
    event_sequence sequence;
    sequence.run_time = milliseconds(9000);
    sequence.end = ending::cut;
    sequence.events = {
        fate_of(call_kind::identification, fate_kind::answered_slowly,
                milliseconds(700)),
        fate_of(call_kind::start, fate_kind::late, longest_delay),
        after(action::pass, milliseconds(1200)), after(action::cut, short_time),
        restart_with(clock_start::behind, short_time)};
    call_orders_cell cell(sequence);
    const auto broken = cell.play();
    for (const auto& it : broken)
        std::cerr << "broken: " << it << '\n';
    cr_assert(broken.empty());
}

// Guards against a job that is never completed after it was refused while the
// store was down and handed in again (review/12).
Test(dropped_jobs, are_completed_once_they_are_handed_in_again)
{
    int failed = 0;
    int refusals = 0;
    const std::array<milliseconds, 4> queries = {
        milliseconds(50), milliseconds(500), milliseconds(1000),
        milliseconds(1500)};
    const std::array<milliseconds, 3> outages = {
        milliseconds(700), milliseconds(1200), milliseconds(2500)};
    const std::array<milliseconds, 3> returns = {
        milliseconds(100), milliseconds(600), milliseconds(1000)};
    constexpr std::array<action, 4> changes = {
        action::pass, action::kill_leader, action::hand_over,
        action::supplant_leader};
    for (const auto query : queries)
        for (const auto outage : outages)
            for (const auto return_delay : returns)
                for (const auto change : changes)
                    for (int then = 0; then < 2000; then += 250)
                    {
                        event_sequence it;
                        it.queue = "asked";
                        // A third task starts when the tickets of the first
                        // answer have expired.
                        it.step = make_step(3, 20);
                        it.advice_delay = query;
                        it.return_delay = return_delay;
                        it.has_second_worker_at_once = true;
                        call_event down;
                        down.what = action::outage;
                        down.delay = outage;
                        down.then = milliseconds(50);
                        call_event again;
                        again.what = action::submit;
                        again.then = milliseconds(1000 + then);
                        call_event successor;
                        successor.what = change;
                        it.events = {down, again, successor};
                        call_orders_cell cell(it);
                        const auto broken = cell.play();
                        refusals += cell.refusals;
                        if (broken.empty())
                            continue;
                        if (++failed == 1)
                            std::cerr << to_text(it) << broken.front() << '\n';
                    }
    cr_assert_eq(failed, 0);
    cr_assert_gt(refusals, 0);
}

// Guards against a task that waits anew for its unanswered order after each
// change of leaders (review/14).
Test(unanswered_orders, are_waited_for_once_over_changes_of_leaders)
{
    // From the last call that may lengthen the lease, which takes 2.7 s, until
    // it has been carried out late, after 12.3 s, and its lease has ended,
    // after 6.3 s; and what the worker's silence takes to be noticed.
    constexpr milliseconds one_bound{22'500};
    constexpr int changes = 12;
    constexpr milliseconds term{1500};
    for (const auto change : {action::hand_over, action::kill_leader})
        for (const int answered : {0, 1, 3})
        {
            event_sequence it;
            it.has_second_worker_at_once = false;
            it.run_time = milliseconds(9000);
            it.end = ending::gone;
            it.events.push_back({action::set_fate,
                                 call_kind::start,
                                 fate_kind::lost,
                                 {},
                                 false,
                                 {},
                                 milliseconds(100 * answered)});
            call_event cut;
            cut.what = action::cut;
            cut.then = milliseconds(2000);
            it.events.push_back(cut);
            for (int n = 0; n < changes; ++n)
            {
                call_event next;
                next.what = change;
                next.then = term;
                it.events.push_back(next);
            }
            call_orders_cell cell(it);
            const auto broken = cell.play();
            cr_assert(broken.empty(), "%s: %s", to_text(it).c_str(),
                      broken.empty() ? "" : broken.front().c_str());
            const auto waited = cell.recovery + changes * term;
            cr_assert_leq(waited, one_bound + it.run_time, "%s: %d ms",
                          to_text(it).c_str(), int(waited.count()));
        }
}
