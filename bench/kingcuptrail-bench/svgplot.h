#pragma once

#include <string>
#include <vector>

namespace kingcuptrail {

/// One line of a plot: a value for each whole number on the x axis, from 0.
struct PlotLine {
    std::string name;
    std::vector<double> values;
};

/// A plot of lines over a common x axis. The package index has no small plot library for C++, hence this one.
struct SvgPlot {
    std::string title;
    std::string xLabel;
    std::string yLabel;
    std::vector<PlotLine> lines;
};

/// The plot as an SVG document.
std::string renderSvg(const SvgPlot& plot);

}
