#include "report.hpp"

#include <iomanip>
#include <ostream>

#include <cpprest/json.h>

namespace mustardwick::bench
{

namespace
{

using web::json::value;

/// Waiting times at which the respective part of the score is halved.
constexpr double urgent_scale_s = 1.3;
constexpr double normal_scale_s = 10;
constexpr double lookup_scale_ms = 200;

double waiting_score(double waited, double scale)
{
    return 1 / (1 + waited / scale);
}

value json_of(const quantiles& it)
{
    value result;
    result["count"] = value::number(std::uint64_t(it.count));
    result["mean"] = value::number(it.mean);
    result["p50"] = value::number(it.p50);
    result["p99"] = value::number(it.p99);
    result["max"] = value::number(it.max);
    return result;
}

value json_of(const std::map<std::string, quantiles>& all)
{
    auto result = value::object();
    for (const auto& [name, it] : all)
        result[name] = json_of(it);
    return result;
}

value json_of(const outcome& it)
{
    value result;
    result["planner"] = value::string(it.planner);
    result["score"] = value::number(it.score);
    result["waiting_s_by_class"] = json_of(it.waiting_by_class);
    result["waiting_s_by_team"] = json_of(it.waiting_by_team);
    result["waiting_s_of_gangs"] = json_of(it.waiting_of_gangs);
    result["packing"] = value::number(it.packing);
    result["distance_from_share"] = value::number(it.distance);
    auto& by_team = result["distance_by_team"] = value::object();
    for (const auto& [name, distance] : it.distance_by_team)
        by_team[name] = value::number(distance);
    result["outage_work"] = value::number(it.outage_work);
    result["outage_services"] = value::number(it.outage_services);
    result["lost_work"] = value::number(it.lost_work);
    result["started"] = value::number(std::uint64_t(it.started));
    result["removed"] = value::number(std::uint64_t(it.removed));
    result["rejected"] = value::number(std::uint64_t(it.rejected));
    result["unstarted"] = value::number(std::uint64_t(it.unstarted));
    result["round_us"] = json_of(it.round_us);
    return result;
}

value json_of(const request_outcome& it)
{
    value result;
    result["setup"] = value::string(it.name);
    result["waiting_ms"] = json_of(it.waiting_ms);
    result["answered"] = value::number(it.answered);
    result["refused"] = value::number(it.refused);
    result["attempts"] = value::number(it.attempts);
    return result;
}

value json_of(const timing& it)
{
    value result;
    result["workers"] = value::number(it.workers);
    result["queued"] = value::number(it.queued);
    result["single_us"] = json_of(it.single_us);
    result["decisions_per_second"] = value::number(it.per_second);
    result["mean_us"] = value::number(it.mean_us);
    return result;
}

void print_quantiles(std::ostream& out, const char* name, const quantiles& it)
{
    out << ' ' << name << ' ' << it.p50 << '/' << it.p99 << '/' << it.max;
}

double mean_of_class(const outcome& it, const char* name)
{
    const auto found = it.waiting_by_class.find(name);
    return found == it.waiting_by_class.end() ? 0 : found->second.mean;
}

void print_outcome(std::ostream& out, const outcome& it)
{
    out << "  " << std::left << std::setw(16) << it.planner
        << std::setprecision(1);
    for (const auto& [name, waiting] : it.waiting_by_class)
        print_quantiles(out, name.c_str(), waiting);
    print_quantiles(out, "gangs", it.waiting_of_gangs);
    out << " means normal " << mean_of_class(it, "normal") << " gangs "
        << it.waiting_of_gangs.mean;
    out << std::setprecision(3) << " packing " << it.packing << " distance "
        << it.distance << " outage work " << it.outage_work << " services "
        << it.outage_services << " lost " << it.lost_work << '\n';
}

void print_teams(std::ostream& out, const outcome& it)
{
    out << "  waiting by team (p50/p99/max s, distance):\n";
    for (const auto& [name, waiting] : it.waiting_by_team)
    {
        out << std::setprecision(1) << "   ";
        print_quantiles(out, name.c_str(), waiting);
        const auto distance = it.distance_by_team.find(name);
        if (distance != it.distance_by_team.end())
            out << std::setprecision(3) << ' ' << distance->second;
        out << '\n';
    }
}

void print_deployment(std::ostream& out, const deployment_report& it)
{
    const auto& shape = it.shape;
    out << "deployment " << shape.name << ": " << shape.hosts << " workers, "
        << shape.teams << " teams; waiting is p50/p99/max in s\n";
    for (const auto& outcome : it.outcomes)
        print_outcome(out, outcome);
    print_teams(out, it.outcomes.front());
    out << std::setprecision(3) << "score " << shape.name << " (waiting "
        << shape.weight_waiting << ", share " << shape.weight_share
        << ", packing " << shape.weight_packing << ", outage "
        << shape.weight_outage << "):";
    for (const auto& outcome : it.outcomes)
        out << ' ' << outcome.planner << '=' << outcome.score;
    out << "\n\n";
}

} // namespace

double score_of(const deployment& shape, const outcome& it,
                double lookup_p99_ms)
{
    const auto waiting_of = [&](const char* name)
    {
        const auto found = it.waiting_by_class.find(name);
        return found == it.waiting_by_class.end() ? quantiles{} : found->second;
    };
    const auto urgent = waiting_score(waiting_of("urgent").p99, urgent_scale_s);
    const auto normal =
        waiting_score(waiting_of("normal").mean, normal_scale_s);
    const auto lookups = waiting_score(lookup_p99_ms, lookup_scale_ms);
    const auto waiting = (urgent + normal + lookups) / 3;
    return shape.weight_waiting * waiting +
           shape.weight_share * std::max(0.0, 1 - it.distance) +
           shape.weight_packing * it.packing +
           shape.weight_outage * it.outage_work * it.outage_services;
}

void print_report(std::ostream& out, const bench_report& report)
{
    out << std::fixed << "seed " << report.seed << ", " << report.seeds
        << " seeds averaged\n\n";
    for (const auto& it : report.deployments)
        print_deployment(out, it);
    out << "requests to 50 targets of 8 slots; waiting is p50/p99/max in ms\n";
    for (const auto& it : report.requests)
    {
        out << "  " << std::left << std::setw(34) << it.name
            << std::setprecision(1);
        print_quantiles(out, "waiting", it.waiting_ms);
        out << std::setprecision(3) << " answered " << it.answered
            << " refused " << it.refused << " attempts " << it.attempts << '\n';
    }
    out << "\ndecisions; one decision is p50/p99/max in us\n";
    for (const auto& it : report.timings)
    {
        out << "  " << it.workers << " workers, " << it.queued
            << " queued:" << std::setprecision(1);
        print_quantiles(out, "one decision", it.single_us);
        out << ", " << std::setprecision(0) << it.per_second
            << " decisions per second, " << std::setprecision(2) << it.mean_us
            << " us each\n";
    }
}

std::string report_json(const bench_report& report)
{
    value result;
    result["seed"] = value::number(report.seed);
    result["seeds"] = value::number(report.seeds);
    auto& deployments = result["deployments"] = value::object();
    for (const auto& it : report.deployments)
    {
        auto& planners = deployments[it.shape.name] = value::array();
        for (std::size_t i = 0; i < it.outcomes.size(); ++i)
            planners[i] = json_of(it.outcomes[i]);
    }
    auto& requests = result["requests"] = value::array();
    for (std::size_t i = 0; i < report.requests.size(); ++i)
        requests[i] = json_of(report.requests[i]);
    auto& timings = result["decisions"] = value::array();
    for (std::size_t i = 0; i < report.timings.size(); ++i)
        timings[i] = json_of(report.timings[i]);
    return result.serialize();
}

} // namespace mustardwick::bench
