#include "mustardwick/jobs/configuration.hpp"

namespace mustardwick::jobs
{

const queue* configuration::find_queue(std::string_view host_name,
                                       std::string_view path) const
{
    const queue* best = nullptr;
    for (const auto& [name, it] : queues)
        if (it.host_name == host_name && path.starts_with(it.path_prefix) &&
            (best == nullptr ||
             it.path_prefix.size() > best->path_prefix.size()))
            best = &it;
    return best;
}

} // namespace mustardwick::jobs
