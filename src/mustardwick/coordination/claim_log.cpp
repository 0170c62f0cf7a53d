#include "mustardwick/coordination/claim_log.hpp"

#include <utility>

#include "mustardwick/base/error.hpp"

namespace mustardwick::coordination
{

using ports::commit_state;

claim_log::claim_log(ports::table table, group_commit& writes)
    : table_(std::move(table)), writes_(writes)
{
}

claim_result claim_log::write(const std::string& key,
                              const claim_record& record,
                              std::uint64_t expected, std::uint64_t& version)
{
    const auto result =
        writes_.commit({{{key, expected}}, {{key, to_row(record)}}});
    version = result.revision;
    switch (result.state)
    {
    case commit_state::committed:
        return claim_result::claimed;
    case commit_state::conflict:
        return claim_result::taken;
    case commit_state::unknown:
        break;
    }
    return claim_result::unknown;
}

claim_result claim_log::claim(const std::string& key,
                              const claim_record& record,
                              std::uint64_t& version)
{
    const auto first = write(key, record, 0, version);
    if (first != claim_result::taken)
        return first;
    const auto stored = read(key);
    if (!stored)
        return base::last_error().kind == base::error_kind::not_found
                   ? claim_result::taken
                   : claim_result::unknown;
    if (stored->record.attempt == record.attempt)
    {
        version = stored->version;
        return claim_result::claimed;
    }
    if (stored->record.state != claim_state::not_run)
        return claim_result::taken;
    return write(key, record, stored->version, version);
}

void claim_log::record(const std::string& key, const claim_record& record,
                       std::uint64_t version)
{
    writes_.post({{{key, version}}, {{key, to_row(record)}}});
}

bool claim_log::record_and_wait(const std::string& key,
                                const claim_record& record,
                                std::uint64_t version)
{
    const auto result =
        writes_.commit({{{key, version}}, {{key, to_row(record)}}});
    return result.state == commit_state::committed;
}

std::optional<stored_claim> claim_log::read(const std::string& key) const
{
    const auto row = table_.read(key);
    if (!row)
        return std::nullopt;
    if (row->version == 0)
        return base::fail(base::error_kind::not_found,
                          "no request was claimed with this id",
                          "check the id; an idempotent request leaves no "
                          "claim");
    const auto record = parse_claim(row->value);
    if (!record)
        return std::nullopt;
    return stored_claim{*record, row->version};
}

} // namespace mustardwick::coordination
