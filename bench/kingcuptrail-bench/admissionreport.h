#pragma once

#include "libmodel/admissionmodel.h"

#include <string>
#include <vector>

namespace kingcuptrail {

/// The outcome for one load under one order of admission.
struct AdmissionRow {
    AdmissionOrder order = AdmissionOrder::Arrival;
    /// Offered load, as a fraction of capacity.
    double load = 0;
    AdmissionOutcome outcome;
};

/// Runs the admission model for each order of admission, with loads from none to three times the capacity in steps of a
/// quarter. Every order gets the same sequence of callers.
std::vector<AdmissionRow> runAdmissionLoads(std::uint64_t seed);

/// A table with a line for each load and order: the fractions of requests that were answered in time, late and never.
std::string toTable(const std::vector<AdmissionRow>&);

/// A plot of timely and late answers over the load as an SVG document, both as a percentage of capacity.
std::string toPlot(const std::vector<AdmissionRow>&);

}
