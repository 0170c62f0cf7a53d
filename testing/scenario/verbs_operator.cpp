#include "testing/scenario/session.hpp"

namespace mustardwick::testing
{

namespace
{

constexpr int default_rounds = 20;

bool configure(session& run, const statement&)
{
    return run.operators.configure();
}

bool put(session& run, const statement& line)
{
    return run.operators.put(line.word(0), line.word(1), line.options);
}

bool patch(session& run, const statement& line)
{
    return run.operators.patch(line.word(0), line.word(1), line.options);
}

bool grant(session& run, const statement& line)
{
    return run.operators.grant(line.word(0), line.option("team"));
}

bool withdraw(session& run, const statement& line)
{
    return run.operators.withdraw(line.word(0));
}

/// Implements "drain" and "undrain" with "domain NAME" or "host NAME".
bool set_service(session& run, const statement& line, bool in_service)
{
    const auto kind = line.word(0);
    if (kind == "domain")
        return run.operators.set_domain(line.word(1), in_service);
    if (kind == "host")
        return run.operators.set_host(line.word(1), in_service);
    return fail_statement("give domain or host");
}

bool drain(session& run, const statement& line)
{
    return set_service(run, line, false);
}

bool undrain(session& run, const statement& line)
{
    return set_service(run, line, true);
}

/// Each accepted change adds 1 to the share and must take effect exactly once;
/// a change without a reply may or may not have taken effect.
bool race(session& run, const statement& line)
{
    const auto rounds = static_cast<int>(line.number("rounds", default_rounds));
    const auto result = run.operators.race(line.word(0), rounds);
    if (!result)
        return false;
    const auto added = result->value - 1;
    const bool exact = added >= result->accepted &&
                       added <= result->accepted + result->unanswered;
    const bool all_counted =
        result->accepted > 0 &&
        result->accepted + result->conflicts + result->unanswered == 2 * rounds;
    return (exact && all_counted) ||
           fail_statement("race: share grew by " + std::to_string(added) +
                          ", accepted " + std::to_string(result->accepted) +
                          ", conflicts " + std::to_string(result->conflicts) +
                          ", unanswered " + std::to_string(result->unanswered));
}

} // namespace

const verb_table& operator_verbs()
{
    static const verb_table out{
        {"configure", configure}, {"put", put},           {"patch", patch},
        {"grant", grant},         {"withdraw", withdraw}, {"drain", drain},
        {"undrain", undrain},     {"race", race},
    };
    return out;
}

} // namespace mustardwick::testing
