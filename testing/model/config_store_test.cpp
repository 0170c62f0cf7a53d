#include <criterion/criterion.h>

#include "mustardwick/base/log.hpp"
#include "testing/model/model_cell.hpp"

using namespace mustardwick;
using namespace mustardwick::testing;

namespace
{

std::optional<coordination::change_result> change(model_daemon& daemon)
{
    coordination::change_request out;
    out.kind = coordination::resource_kind::failure_domain;
    out.name = "west";
    out.desired = "{}";
    return daemon.config.change(out);
}

} // namespace

// Guards against a configuration change by a daemon that was fenced and has not
// noticed it yet. While the table is down, the other daemons confirm to each
// other that their configuration is current, without querying a fenced daemon.
Test(config_store, rejects_changes_by_a_fenced_daemon)
{
    base::set_up_log("model", base::log_level::error);
    model_cell cell({1});
    auto& daemon = cell.daemon(0);
    auto record = daemon.registry.find("d0").value().record;
    const auto key = coordination::member_key("d0");
    record.fenced = true;
    const auto row = cell.access(1).read(key).value();
    const auto fenced = cell.access(1).commit(
        {"fence", {{key, row.version}}, {{key, to_row(record)}}, {}});
    cr_assert(fenced.state == ports::commit_state::committed);
    cr_expect_not(change(daemon).has_value());
    daemon.registry.renew();
    cr_expect(change(daemon).has_value());
}
