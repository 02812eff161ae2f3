#include "tools/load/plot.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>
#include <vector>

namespace fuchsia::tools::load
{

namespace
{

constexpr double width = 760;
constexpr double panel_height = 180;
constexpr double left_margin = 70;
constexpr double top_margin = 40;
constexpr double panel_gap = 60;
constexpr double millisecond_us = 1'000.0;

struct line
{
    std::string_view name;
    std::string_view colour;
    std::vector<double> values;
};

std::string number(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

std::string label(double x, double y, std::string_view text)
{
    return "<text x=\"" + number(x) + "\" y=\"" + number(y) + "\">" +
           std::string(text) + "</text>\n";
}

std::string polyline(line const& series, double origin, double highest)
{
    std::string points;
    double const step =
        series.values.size() < 2
            ? 0
            : width / static_cast<double>(series.values.size() - 1);
    for (std::size_t index = 0; index < series.values.size(); ++index)
    {
        double const x = left_margin + step * static_cast<double>(index);
        double const y =
            origin + panel_height * (1.0 - series.values[index] / highest);
        points += number(x) + "," + number(y) + " ";
    }
    return "<polyline fill=\"none\" stroke=\"" + std::string(series.colour) +
           "\" points=\"" + points + "\"/>\n";
}

std::string
panel(std::string_view title, std::vector<line> const& lines, double origin)
{
    double highest = 1.0;
    for (auto const& series : lines)
    {
        for (double const value : series.values)
        {
            highest = std::max(highest, value);
        }
    }
    std::string svg = "<rect x=\"" + number(left_margin) + "\" y=\"" +
                      number(origin) + "\" width=\"" + number(width) +
                      "\" height=\"" + number(panel_height) +
                      "\" fill=\"none\" stroke=\"#888\"/>\n";
    svg += label(left_margin, origin - 8, title);
    svg += label(4, origin + 12, number(highest));
    svg += label(4, origin + panel_height, "0");
    double name_x = left_margin + width / 2;
    for (auto const& series : lines)
    {
        svg += polyline(series, origin, highest);
        svg += "<g fill=\"" + std::string(series.colour) + "\">" +
               label(name_x, origin - 8, series.name) + "</g>\n";
        name_x += width / 8;
    }
    return svg;
}

} // namespace

std::string to_svg(run_report const& report)
{
    line latency{"p99", "#b03060", {}};
    line median{"p50", "#4060b0", {}};
    line good{"good", "#208040", {}};
    line refused{"refused", "#c07020", {}};
    for (auto const& row : report.requests.by_second())
    {
        latency.values.push_back(
            static_cast<double>(row.latency.quantile(0.99)) / millisecond_us);
        median.values.push_back(static_cast<double>(row.latency.quantile(0.5)) /
                                millisecond_us);
        good.values.push_back(static_cast<double>(row.good()));
        refused.values.push_back(
            static_cast<double>(row.count(request_result::refused)));
    }
    double const second_panel = top_margin + panel_height + panel_gap;
    std::string svg =
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"860\" "
        "height=\"500\" font-family=\"sans-serif\" font-size=\"12\">\n"
        "<rect width=\"860\" height=\"500\" fill=\"white\"/>\n";
    svg += panel(report.name + ": latency, ms", {latency, median}, top_margin);
    svg += panel("requests a second", {good, refused}, second_panel);
    svg += label(
        left_margin + width - 60, second_panel + panel_height + 16, "seconds");
    return svg + "</svg>\n";
}

} // namespace fuchsia::tools::load
