#include "svgplot.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>

namespace kingcuptrail {

namespace {

    constexpr double width = 900;
    constexpr double height = 420;
    constexpr double left = 70;
    constexpr double right = 190;
    constexpr double top = 40;
    constexpr double bottom = 50;
    constexpr int yTicks = 5;
    constexpr int xTicks = 10;
    constexpr double legendStep = 20;
    constexpr std::array<std::string_view, 6> colours { "#c0392b", "#2980b9", "#d68910", "#7d3c98", "#1e8449", "#555555" };

    /// Maps values to coordinates in the drawing.
    struct Scale {
        double xMax = 1;
        double yMax = 1;

        double x(double value) const { return left + value / xMax * (width - left - right); }
        double y(double value) const { return height - bottom - value / yMax * (height - top - bottom); }
    };

    Scale scaleOf(const SvgPlot& plot)
    {
        Scale scale;
        for (const PlotLine& line : plot.lines) {
            scale.xMax = std::max(scale.xMax, static_cast<double>(line.values.size()) - 1);
            for (const double value : line.values)
                scale.yMax = std::max(scale.yMax, value * 1.05);
        }
        return scale;
    }

    void text(std::ostream& out, double x, double y, std::string_view anchor, std::string_view content)
    {
        out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << content << "</text>\n";
    }

    void axes(std::ostream& out, const SvgPlot& plot, const Scale& scale)
    {
        for (int tick = 0; tick <= yTicks; ++tick) {
            const double value = scale.yMax * tick / yTicks;
            out << "<line x1=\"" << left << "\" x2=\"" << width - right << "\" y1=\"" << scale.y(value) << "\" y2=\"" << scale.y(value) << "\" stroke=\"#dddddd\"/>\n";
            text(out, left - 8, scale.y(value) + 4, "end", std::to_string(static_cast<long>(value)));
        }
        // On a short axis the ticks stand at whole numbers, because labels are truncated to whole numbers.
        const int ticks = scale.xMax < 2 * xTicks ? static_cast<int>(scale.xMax) : xTicks;
        for (int tick = 0; tick <= ticks; ++tick) {
            const double value = scale.xMax * tick / ticks;
            text(out, scale.x(value), height - bottom + 18, "middle", std::to_string(static_cast<long>(value)));
        }
        text(out, width / 2, top / 2, "middle", plot.title);
        text(out, (left + width - right) / 2, height - 12, "middle", plot.xLabel);
        text(out, left, top - 8, "start", plot.yLabel);
    }

    void curve(std::ostream& out, const PlotLine& line, std::size_t number, const Scale& scale)
    {
        const std::string_view colour = colours[number % colours.size()];
        out << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"1.5\" points=\"";
        for (std::size_t index = 0; index < line.values.size(); ++index)
            out << scale.x(static_cast<double>(index)) << ',' << scale.y(line.values[index]) << ' ';
        out << "\"/>\n";
        const double y = top + legendStep * static_cast<double>(number + 1);
        out << "<line x1=\"" << width - right + 10 << "\" x2=\"" << width - right + 30 << "\" y1=\"" << y << "\" y2=\"" << y << "\" stroke=\"" << colour << "\" stroke-width=\"3\"/>\n";
        text(out, width - right + 36, y + 4, "start", line.name);
    }

}

std::string renderSvg(const SvgPlot& plot)
{
    const Scale scale = scaleOf(plot);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
    out << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    axes(out, plot, scale);
    for (std::size_t number = 0; number < plot.lines.size(); ++number)
        curve(out, plot.lines[number], number, scale);
    out << "</svg>\n";
    return out.str();
}

}
