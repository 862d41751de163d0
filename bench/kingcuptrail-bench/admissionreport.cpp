#include "admissionreport.h"

#include "svgplot.h"

#include <array>
#include <cstdio>

namespace kingcuptrail {

namespace {

    constexpr int stepsOfLoad = 12;
    constexpr double loadStep = 0.25;
    /// Long enough for a standing queue to build up, in milliseconds.
    constexpr Millis duration = 8000;

    double fractionOf(std::uint32_t count, std::uint32_t asked)
    {
        return asked > 0 ? static_cast<double>(count) / asked : 0;
    }

    /// The answered requests as a percentage of capacity.
    double percentOfCapacity(std::uint32_t count, const AdmissionRow& row)
    {
        return 100 * row.load * fractionOf(count, row.outcome.asked);
    }

    void addLines(SvgPlot& plot, const std::vector<AdmissionRow>& rows, AdmissionOrder order)
    {
        PlotLine inTime { std::string(nameOf(order)) + " in time", {} };
        PlotLine late { std::string(nameOf(order)) + " late", {} };
        for (const AdmissionRow& row : rows) {
            if (row.order != order)
                continue;
            inTime.values.push_back(percentOfCapacity(row.outcome.inTime, row));
            late.values.push_back(percentOfCapacity(row.outcome.late, row));
        }
        plot.lines.push_back(std::move(inTime));
        plot.lines.push_back(std::move(late));
    }

}

std::vector<AdmissionRow> runAdmissionLoads(std::uint64_t seed)
{
    std::vector<AdmissionRow> rows;
    for (int step = 0; step <= stepsOfLoad; ++step) {
        for (const AdmissionOrder order : { AdmissionOrder::Arrival, AdmissionOrder::NewestFirst, AdmissionOrder::LateInIdleSlots }) {
            AdmissionRow row { .order = order, .load = step * loadStep, .outcome = {} };
            if (step > 0)
                row.outcome = sumOf(runAdmissionModel({ .seed = seed, .load = row.load, .duration = duration, .order = order }));
            rows.push_back(row);
        }
    }
    return rows;
}

std::string toTable(const std::vector<AdmissionRow>& rows)
{
    std::string out = "load  order            in time   late   lost\n";
    for (const AdmissionRow& row : rows) {
        const AdmissionOutcome& outcome = row.outcome;
        std::array<char, 80> line {};
        std::snprintf(line.data(), line.size(), "%4.2f  %-15s    %5.3f  %5.3f  %5.3f\n", row.load, std::string(nameOf(row.order)).c_str(),
            fractionOf(outcome.inTime, outcome.asked), fractionOf(outcome.late, outcome.asked), fractionOf(outcome.lost, outcome.asked));
        out += line.data();
    }
    return out;
}

std::string toPlot(const std::vector<AdmissionRow>& rows)
{
    SvgPlot plot { .title = "Answers under overload", .xLabel = "offered load, in quarters of capacity", .yLabel = "answers, percent of capacity", .lines = {} };
    for (const AdmissionOrder order : { AdmissionOrder::Arrival, AdmissionOrder::NewestFirst, AdmissionOrder::LateInIdleSlots })
        addLines(plot, rows, order);
    return renderSvg(plot);
}

}
