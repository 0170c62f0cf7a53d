#include "mustardwick/ports/table.hpp"

#include <utility>

namespace mustardwick::ports
{

std::optional<std::vector<row>> table::scan_all(std::string_view prefix) const
{
    std::vector<row> out;
    std::string after;
    do
    {
        auto page = scan(prefix, after);
        if (!page)
            return std::nullopt;
        for (auto& it : page->rows)
            out.push_back(std::move(it));
        after = page->next;
    } while (!after.empty());
    return out;
}

commit_result commit_resolved(const table& service, const transaction& change,
                              std::string_view witness_key, int attempts,
                              bool in_doubt)
{
    for (int n = 0; n < attempts; ++n)
    {
        auto result = service.commit(change);
        if (result.state == commit_state::unknown)
        {
            in_doubt = true;
            continue;
        }
        if (result.state == commit_state::committed || !in_doubt)
            return result;
        const auto witness = service.read(witness_key);
        if (!witness)
            continue;
        if (witness->writer == change.id)
            return {commit_state::committed, witness->version, {}};
        return result;
    }
    return {};
}

} // namespace mustardwick::ports
