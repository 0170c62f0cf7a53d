#include <iostream>

#include "testing/scenario/session.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr milliseconds submit_timeout{10'000};

/// submit NAME [copies=N] ...: submits jobs NAME-0 to NAME-(N-1).
bool submit(session& run, const statement& line)
{
    const auto copies = line.number("copies", 1);
    run.copies[line.word(0)] = copies;
    for (std::int64_t n = 0; n < copies; ++n)
    {
        const auto id = line.word(0) + '-' + std::to_string(n);
        if (!run.callers.submit(id, line,
                                line.duration("within", submit_timeout)))
            return false;
    }
    return true;
}

/// Succeeds when the job is not accepted.
bool submit_refused(session& run, const statement& line)
{
    const auto id = line.word(0);
    return !run.callers.submit(id, line, milliseconds{0}) ||
           fail_statement("job " + id + " was accepted");
}

bool cancel(session& run, const statement& line)
{
    const auto name = line.word(0);
    for (std::int64_t n = 0; n < run.copies[name]; ++n)
    {
        const auto id = name + '-' + std::to_string(n);
        if (!run.callers.cancel(id, line.option("key")))
            return fail_statement("job " + id + " was not canceled");
    }
    return true;
}

bool request(session& run, const statement& line)
{
    caller_request call;
    call.id = line.word(0);
    call.queue = line.option("queue");
    call.key = line.option("key");
    call.work = line.duration("work", milliseconds{10});
    call.deadline = line.duration("deadline", milliseconds{3000});
    call.idempotent = line.flag("idempotent", false);
    const auto* daemon = run.cluster.find_daemon(line.option("via"));
    if (daemon == nullptr)
        daemon = run.cluster.next_daemon();
    if (daemon == nullptr)
        return fail_statement("no daemon receives calls");
    run.callers.named_results()[call.id] = run.callers.send(call, *daemon);
    return true;
}

bool start_load(session& run, const statement& line)
{
    run.loads[line.word(0)] =
        std::make_unique<load>(run.callers, run.cluster, line);
    return true;
}

bool finish_load(session& run, const statement& line)
{
    for (const auto& it : line.words)
    {
        const auto found = run.loads.find(it);
        if (found == run.loads.end())
            return fail_statement("no running load is named " + it);
        run.summaries[it] = found->second->finish();
        run.loads.erase(found);
        std::cout << "load " << it << run.summaries[it].text() << '\n';
    }
    return true;
}

} // namespace

const verb_table& caller_verbs()
{
    static const verb_table out{
        {"submit", submit},   {"submit-refused", submit_refused},
        {"cancel", cancel},   {"request", request},
        {"load", start_load}, {"finish", finish_load},
    };
    return out;
}

} // namespace mustardwick::testing
