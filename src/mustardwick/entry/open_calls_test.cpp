#include "mustardwick/entry/open_calls.hpp"

#include <chrono>
#include <vector>

#include <criterion/criterion.h>

using namespace mustardwick;
using namespace mustardwick::entry;

// Guards against callers of a leader that steps down: they waited 1.5 s for a
// timeout although another leader could answer.
Test(open_calls, are_answered_when_leadership_ends)
{
    open_calls calls;
    std::vector<std::string> answers;
    const auto respond = [&](std::string answer)
    {
        answers.push_back(std::move(answer));
    };
    const base::steady_time begin{std::chrono::seconds(1)};
    const auto answered = calls.track("query", begin, respond);
    const auto pending = calls.track("query", begin, respond);
    answered("state");
    cr_assert_eq(calls.abandon(begin).total, 1);
    cr_assert_eq(answers.size(), 2);
    cr_assert_eq(answers[0], "state");
    cr_assert(answers[1].empty());
    // A commit that completes later must not answer a second time.
    pending("late");
    answered("again");
    cr_assert_eq(answers.size(), 2);
    cr_assert_eq(calls.abandon(begin).total, 0);
}

// Guards against answering calls of another kind, or one call twice.
Test(open_calls, of_one_kind_are_answered_together)
{
    open_calls calls;
    std::vector<std::string> answers;
    const auto respond = [&](std::string answer)
    {
        answers.push_back(std::move(answer));
    };
    const base::steady_time begin{std::chrono::seconds(1)};
    const auto pending = calls.track("withdraw", begin, respond);
    calls.track("cancel", begin, respond);
    calls.track("withdraw", begin, respond);
    cr_assert_eq(calls.answer_all("withdraw", "later", begin).total, 2);
    cr_assert_eq(answers.size(), 2);
    pending("stored");
    cr_assert_eq(answers.size(), 2);
    cr_assert_eq(calls.summary(begin).kinds(), "cancel x1");
}

// Guards against calls without an answer of which the log names neither the
// kind nor the time that they waited (issue 37).
Test(open_calls, are_counted_by_kind)
{
    using std::chrono::milliseconds;
    open_calls calls;
    const base::steady_time begin{milliseconds(1000)};
    const auto ignore = [](const std::string&) {};
    calls.track("query", begin, ignore);
    calls.track("submit", begin - milliseconds(300), ignore);
    calls.track("query", begin, ignore);
    calls.track("cancel", begin - milliseconds(900), ignore)("answer");
    const auto open = calls.summary(begin + milliseconds(100));
    cr_assert_eq(open.total, 3);
    cr_assert_eq(open.kinds(), "query x2, submit x1");
    cr_assert_eq(open.oldest, milliseconds(400));
}
