#include "mustardwick/entry/job_rows.hpp"

#include <algorithm>
#include <array>

#include <criterion/criterion.h>

#include "mustardwick/base/log.hpp"
#include "mustardwick/entry/cell_leader.hpp"
#include "mustardwick/wire/codec.hpp"

using namespace mustardwick;
using namespace mustardwick::entry;

namespace
{

using row_changes = std::vector<dispatch::row_change>;

row_changes change_of(bool accepted, bool ended, jobs::job_state state)
{
    using dispatch::row_kind;
    jobs::job job;
    job.id = "j";
    jobs::job_record record;
    record.state = state;
    const auto progress = wire::encode(record);
    if (accepted)
        return {{row_kind::job, "j",
                 wire::encode(dispatch::job_row{wire::encode(job), progress})}};
    row_changes out = {{row_kind::progress, "j", progress}};
    if (ended)
        out.push_back({row_kind::job, "j", std::nullopt});
    return out;
}

/// Applies changes to the rows of a store.
void apply_changes(std::vector<durable::row>& rows, const row_changes& changes)
{
    durable::transaction out;
    for (const auto& it : changes)
        add_change(out, it);
    cr_assert_eq(out.writes.size() + out.removals.size(), changes.size());
    const auto erase = [&rows](const durable::row_address& address)
    {
        std::erase_if(rows,
                      [&](const durable::row& row)
                      {
                          return row.address == address;
                      });
    };
    for (const auto& it : out.removals)
        erase(it);
    for (const auto& it : out.writes)
    {
        erase(it.address);
        rows.push_back({it.address, it.value, 1, false});
    }
}

} // namespace

struct rows_case
{
    const char* name;
    std::vector<row_changes> changes;
    std::size_t rows;
    jobs::job_state state;
};

// Guards against a new leader that restores an outdated state of a job or loses
// a job, and against more rows per job than necessary: a transaction takes 100
// entries, which limits how many jobs a slow store accepts (two seconds
// of load earned only 0.08 of their value).
Test(job_rows, restores_the_newest_state)
{
    using enum jobs::job_state;
    const auto accept = change_of(true, false, queued);
    const auto run = change_of(false, false, running);
    const auto end = change_of(false, true, completed);
    const std::array cases = {
        rows_case{"accepted", {accept}, 1, queued},
        rows_case{"running", {accept, run}, 2, running},
        rows_case{"ended", {accept, run, end}, 1, completed},
        rows_case{"ended at once", {accept, end}, 1, completed},
        rows_case{"cancelled before it was stored",
                  {change_of(false, false, cancelled)},
                  1,
                  cancelled},
    };
    for (const auto& it : cases)
    {
        std::vector<durable::row> rows;
        for (const auto& change : it.changes)
            apply_changes(rows, change);
        cr_assert_eq(rows.size(), it.rows, "%s", it.name);
        for (const bool reversed : {false, true})
        {
            if (reversed)
                std::reverse(rows.begin(), rows.end());
            stored_jobs loaded;
            for (const auto& row : rows)
                cr_assert(loaded.add(row), "%s", it.name);
            const auto jobs = loaded.take();
            cr_assert_eq(jobs.size(), 1);
            const auto& job = jobs.at("j");
            cr_assert(job.specification && job.record, "%s", it.name);
            cr_assert_eq(job.specification->id, "j");
            cr_assert_eq(job.record->state, it.state, "%s", it.name);
        }
    }
}

// Guards against a removed job that reappears, and against a job that returns
// to an older state because its newest one cannot be decoded.
Test(job_rows, removes_jobs_and_rejects_undecodable_rows)
{
    std::vector<durable::row> rows;
    apply_changes(rows, change_of(true, false, jobs::job_state::queued));
    apply_changes(rows, change_of(false, false, jobs::job_state::running));
    apply_changes(rows, {{dispatch::row_kind::job, "j", std::nullopt},
                         {dispatch::row_kind::progress, "j", std::nullopt}});
    cr_assert(rows.empty());
    stored_jobs loaded;
    for (const auto& table : {job_table, progress_table})
        cr_assert_not(
            loaded.add({{table, plan_partition, "j"}, "x", 1, false}));
    const auto jobs = loaded.take();
    cr_assert(!jobs.at("j").specification && !jobs.at("j").record);
    apply_changes(rows, change_of(true, false, jobs::job_state::queued));
    cr_assert(loaded.add(rows.front()));
    cr_assert_not(
        loaded.add({{progress_table, plan_partition, "j"}, "x", 1, false}));
    cr_assert_not(loaded.take().at("j").record.has_value());
}
