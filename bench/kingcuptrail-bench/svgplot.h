#pragma once

#include <string>
#include <vector>

namespace kingcuptrail {

/// One line of a plot; the values belong to x = 0, 1, 2 and so on.
struct PlotLine {
    std::string name;
    std::vector<double> values;
};

/// A plot of lines over a common x axis. Written here since no small plotting library for C++ is packaged.
struct SvgPlot {
    std::string title;
    std::string xLabel;
    std::string yLabel;
    std::vector<PlotLine> lines;
};

/// Renders the plot as an SVG document.
std::string renderSvg(const SvgPlot& plot);

}
