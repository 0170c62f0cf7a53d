#include "job_queue.hpp"

namespace mustardwick::policy
{

void job_queue::add_head(const job_shape& shape, const queue_place& place)
{
    heads_.insert({place, shape.size});
}

void job_queue::add(const job_shape& shape, const queue_place& place)
{
    auto& places = shapes_[shape];
    const bool first = places.empty() || place < *places.begin();
    if (first && !places.empty())
        heads_.erase(*places.begin());
    places.insert(place);
    if (!first)
        return;
    add_head(shape, place);
    if (failed_until_ && place < *failed_until_)
        failed_until_ = heads_.before(place);
}

void job_queue::remove(const job_shape& shape, const queue_place& place)
{
    const auto it = shapes_.find(shape);
    if (it == shapes_.end())
        return;
    // failed_until_ must not refer to a removed job.
    if (failed_until_ && !(*failed_until_ < place) && !(place < *failed_until_))
        failed_until_ = heads_.before(place);
    auto& places = it->second;
    const bool first = !(*places.begin() < place);
    places.erase(place);
    if (first)
        heads_.erase(place);
    if (places.empty())
        shapes_.erase(it);
    else if (first)
        add_head(shape, *places.begin());
}

void job_queue::record_failed(std::optional<queue_place> until,
                              std::uint64_t version)
{
    failed_until_ = until;
    failed_at_ = version;
}

} // namespace mustardwick::policy
