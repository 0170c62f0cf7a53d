#include "mustardwick/base/metrics.hpp"

#include <cstdio>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace mustardwick::base
{

namespace
{

namespace acc = boost::accumulators;

using quantile_accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using summary_accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>>;

std::string number(double value)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.9g", value);
    return buf;
}

} // namespace

struct metrics::distribution
{
    quantile_accumulator p50{acc::quantile_probability = 0.5};
    quantile_accumulator p99{acc::quantile_probability = 0.99};
    summary_accumulator summary;

    void add(double sample)
    {
        p50(sample);
        p99(sample);
        summary(sample);
    }

    void render(std::string& out, const std::string& name) const
    {
        out += "# TYPE " + name + " summary\n";
        out += name + "{quantile=\"0.5\"} " +
               number(acc::p_square_quantile(p50)) + '\n';
        out += name + "{quantile=\"0.99\"} " +
               number(acc::p_square_quantile(p99)) + '\n';
        out += name + "{quantile=\"1\"} " + number(acc::max(summary)) + '\n';
        out += name + "_sum " + number(acc::sum(summary)) + '\n';
        out += name + "_count " + std::to_string(acc::count(summary)) + '\n';
    }
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::add(std::string_view name, std::uint64_t n)
{
    const std::scoped_lock lock(mutex_);
    const auto it = counters_.find(name);
    if (it == counters_.end())
        counters_.emplace(name, n);
    else
        it->second += n;
}

void metrics::set(std::string_view name, double value)
{
    const std::scoped_lock lock(mutex_);
    gauges_[std::string(name)] = value;
}

void metrics::observe(std::string_view name, double sample)
{
    const std::scoped_lock lock(mutex_);
    auto it = distributions_.find(name);
    if (it == distributions_.end())
        it = distributions_
                 .emplace(std::string(name), std::make_unique<distribution>())
                 .first;
    it->second->add(sample);
}

std::uint64_t metrics::count(std::string_view name) const
{
    const std::scoped_lock lock(mutex_);
    const auto it = counters_.find(name);
    return it == counters_.end() ? 0 : it->second;
}

std::string metrics::render() const
{
    const std::scoped_lock lock(mutex_);
    std::string out;
    for (const auto& [name, value] : counters_)
        out += "# TYPE " + name + " counter\n" + name + ' ' +
               std::to_string(value) + '\n';
    for (const auto& [name, value] : gauges_)
        out +=
            "# TYPE " + name + " gauge\n" + name + ' ' + number(value) + '\n';
    for (const auto& [name, value] : distributions_)
        value->render(out, name);
    return out;
}

} // namespace mustardwick::base
