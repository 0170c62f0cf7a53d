#include "mustardwick/entry/open_calls.hpp"

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
    const auto answered = calls.track(respond);
    const auto pending = calls.track(respond);
    answered("state");
    cr_assert_eq(calls.abandon(), 1);
    cr_assert_eq(answers.size(), 2);
    cr_assert_eq(answers[0], "state");
    cr_assert(answers[1].empty());
    // A commit that completes later must not answer a second time.
    pending("late");
    answered("again");
    cr_assert_eq(answers.size(), 2);
    cr_assert_eq(calls.abandon(), 0);
}
