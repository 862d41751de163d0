#pragma once

#include "libmodel/admissionmodel.h"

#include <string>
#include <vector>

namespace kingcuptrail {

/// What became of the callers of one load under one order of admission.
struct AdmissionRow {
    AdmissionOrder order = AdmissionOrder::Arrival;
    /// Work that was asked for, in parts of what can be done.
    double load = 0;
    AdmissionOutcome outcome;
};

/// Runs the model of callers under overload for each order of admission, over loads from none to three times what can be
/// done, in steps of a quarter. Every order meets the same callers.
std::vector<AdmissionRow> runAdmissionLoads(std::uint64_t seed);

/// A line for each load and order: parts of what was asked that were answered in time, late and never.
std::string toTable(const std::vector<AdmissionRow>&);

/// Answers in time and late ones over the load, as an SVG document. Both in hundredths of what can be done.
std::string toPlot(const std::vector<AdmissionRow>&);

}
