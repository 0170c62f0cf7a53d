#include <map>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "mustardwick/base/log.hpp"
#include "testing/model/model_cell.hpp"

using namespace mustardwick;
using namespace mustardwick::testing;

namespace rc
{

template <>
struct Arbitrary<operation>
{
    static Gen<operation> arbitrary()
    {
        return gen::build<operation>(
            gen::set(&operation::what,
                     gen::map(gen::inRange(0U, action_choices), action_of)),
            gen::set(&operation::first, gen::inRange(0U, 64U)),
            gen::set(&operation::second, gen::inRange(0U, 64U)));
    }
};

} // namespace rc

namespace
{

std::string join(const std::vector<std::string>& lines)
{
    std::string out;
    for (const auto& it : lines)
        out += it + '\n';
    return out;
}

constexpr int max_sequence_length = 200;

struct defect_case
{
    const char* name;
    defect kind;
    /// The promises that the omitted mechanism protects; the first violation
    /// must concern one of them.
    std::string_view promises;
};

} // namespace

namespace mustardwick::testing
{

// RapidCheck looks the function up by this name.
// NOLINTNEXTLINE(readability-identifier-naming)
void showValue(const operation& value, std::ostream& out)
{
    out << to_text(value);
}

} // namespace mustardwick::testing

// Guards against a sequence of faults after which two daemons act on the same
// worker, job, request or limit.
Test(model, promises_hold_under_generated_faults)
{
    base::set_up_log("model", base::log_level::error);
    std::map<std::string, int> counts;
    const bool held =
        rc::check("the promises hold",
                  [&counts](std::uint64_t seed)
                  {
                      const auto steps = *rc::gen::resize(
                          max_sequence_length,
                          rc::gen::arbitrary<std::vector<operation>>());
                      const auto broken = run_sequence({seed}, steps, counts);
                      if (!broken.empty())
                          RC_FAIL(join(broken));
                  });
    for (const auto& [name, n] : counts)
        std::cerr << name << ' ' << n << '\n';
    cr_assert(held);
    // Guards against a model in which nothing happens.
    for (const auto* it : {"task_started", "request_started", "request_done",
                           "job_accepted", "refused", "paused_at_send"})
        cr_expect(counts[it] > 100, "%s happened %d times", it, counts[it]);
}

// Guards against a monitor that accepts everything: each defect omits one
// mechanism, and one of the seeds must reveal it.
Test(monitor, detects_each_defect)
{
    base::set_up_log("model", base::log_level::error);
    const defect_case variants[] = {
        {"planner without guard", defect::planner_without_guard, "P1 P2"},
        {"no claims", defect::no_claims, "P8"},
        {"parts without commit", defect::parts_without_commit, "P4"},
        {"stale configuration", defect::stale_configuration, "P3 P5"},
        {"unresponsive host is empty", defect::unresponsive_host_is_empty,
         "P1 P2"}};
    for (const auto& it : variants)
    {
        std::vector<std::string> broken;
        std::uint64_t seed = 0;
        std::map<std::string, int> counts;
        const auto is_detected = [&it, &broken]
        {
            return !broken.empty() &&
                   it.promises.find(broken.front().substr(0, 2)) !=
                       std::string_view::npos;
        };
        for (; seed < 100 && !is_detected(); ++seed)
            broken =
                run_sequence({seed, it.kind},
                             operations_of(seed, max_sequence_length), counts);
        std::cerr << it.name << ": seed " << seed - 1 << ": "
                  << (is_detected() ? broken.front() : "not detected") << '\n';
        cr_expect(is_detected(), "%s", it.name);
    }
}
