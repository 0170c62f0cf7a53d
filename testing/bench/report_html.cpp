#include "report.hpp"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <sstream>

namespace mustardwick::bench
{

namespace
{

constexpr int label_width = 260;
constexpr int bar_width = 360;
constexpr int row_height = 22;

struct bar
{
    std::string label;
    double value = 0;
};

/// @brief Writes a horizontal bar chart, scaled to the largest value.
void add_chart(std::ostream& out, const std::string& title,
               const std::vector<bar>& bars)
{
    double largest = 1e-9;
    for (const auto& it : bars)
        largest = std::max(largest, it.value);
    const auto height = row_height * int(bars.size());
    out << "<h3>" << title << "</h3>\n<svg width=\"760\" height=\"" << height
        << "\" role=\"img\" aria-label=\"" << title << "\">\n";
    int y = 0;
    for (const auto& it : bars)
    {
        const auto width = int(it.value / largest * bar_width);
        out << "<text x=\"0\" y=\"" << y + 15 << "\">" << it.label
            << "</text><rect x=\"" << label_width << "\" y=\"" << y + 2
            << "\" width=\"" << width << "\" height=\"" << row_height - 4
            << "\"/><text x=\"" << label_width + width + 6 << "\" y=\""
            << y + 15 << "\">" << it.value << "</text>\n";
        y += row_height;
    }
    out << "</svg>\n";
}

template <typename Items, typename Label, typename Value>
std::vector<bar> bars_of(const Items& items, const Label& label,
                         const Value& value)
{
    std::vector<bar> bars;
    bars.reserve(items.size());
    for (const auto& it : items)
        bars.push_back({std::invoke(label, it), std::invoke(value, it)});
    return bars;
}

double waiting_p99(const outcome& it, const char* name)
{
    const auto found = it.waiting_by_class.find(name);
    return found == it.waiting_by_class.end() ? 0 : found->second.p99;
}

void add_deployment(std::ostream& out, const deployment_report& it)
{
    const auto chart = [&](const char* title, const auto& value)
    {
        add_chart(out, title, bars_of(it.outcomes, &outcome::planner, value));
    };
    out << "<h2>Deployment " << it.shape.name << "</h2>\n";
    chart("Score", &outcome::score);
    chart("Waiting of urgent work, p99, s",
          [](const outcome& o)
          {
              return waiting_p99(o, "urgent");
          });
    chart("Waiting of normal work, p99, s",
          [](const outcome& o)
          {
              return waiting_p99(o, "normal");
          });
    chart("Waiting of gangs, p99, s",
          [](const outcome& o)
          {
              return o.waiting_of_gangs.p99;
          });
    chart("Distance from share", &outcome::distance);
    chart("Packing", &outcome::packing);
    chart("Work done during the outage", &outcome::outage_work);
    chart("Services running during the outage", &outcome::outage_services);
}

} // namespace

std::string report_html(const bench_report& report)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(3)
        << "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\">"
           "<title>mustardwick-bench</title>\n<style>body{font:14px "
           "sans-serif;margin:2em}rect{fill:#3a6ea5}text{font-size:13px}"
           "</style>\n<h1>Decisions of mustardwick</h1>\n<p>Seed "
        << report.seed << "</p>\n";
    for (const auto& it : report.deployments)
        add_deployment(out, it);
    out << "<h2>Requests</h2>\n";
    add_chart(out, "Waiting, p99, ms",
              bars_of(report.requests, &request_outcome::name,
                      [](const auto& it)
                      {
                          return it.waiting_ms.p99;
                      }));
    add_chart(out, "Answered within the deadline",
              bars_of(report.requests, &request_outcome::name,
                      &request_outcome::answered));
    const auto workers = [](const timing& it)
    {
        return std::to_string(it.workers) + " workers";
    };
    out << "<h2>Cost of decisions</h2>\n";
    add_chart(out, "One decision, p99, us",
              bars_of(report.timings, workers,
                      [](const auto& it)
                      {
                          return it.single_us.p99;
                      }));
    add_chart(out, "Decisions per second",
              bars_of(report.timings, workers, &timing::per_second));
    out << "</html>\n";
    return out.str();
}

} // namespace mustardwick::bench
