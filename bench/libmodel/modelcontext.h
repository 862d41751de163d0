#pragma once

#include "eventloop.h"
#include "experiment.h"
#include "historyrecorder.h"
#include "metrics.h"
#include "network.h"
#include "policy.h"
#include "randomsource.h"

namespace kingcuptrail {

/// The objects that all parts of one run share.
struct ModelContext {
    const ExperimentSpec& experiment;
    const PolicyOptions& policy;
    EventLoop& loop;
    RandomSource& random;
    Network& network;
    Metrics& metrics;
    HistoryRecorder& history;
};

/// Time since measuring started, in milliseconds; negative during the warm-up.
inline Millis sinceStart(const ModelContext& context)
{
    return context.loop.nowMillis() - context.experiment.warmUp;
}

}
