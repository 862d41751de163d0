#pragma once

#include "checker.h"
#include "historyindex.h"

namespace kingcuptrail {

/// The input of every check, and the violations found so far.
struct CheckContext {
    const std::vector<HistoryEvent>& events;
    const HistoryIndex& index;
    const CheckOptions& options;
    std::vector<Violation>& violations;

    /// Adds a violation. Null events are ignored.
    void report(Promise promise, std::string text, std::initializer_list<const HistoryEvent*> evidence) const;
};

void checkFlows(const CheckContext& context);
void checkOutages(const CheckContext& context);
void checkDrains(const CheckContext& context);

void checkRouting(const CheckContext& context);
void checkColdStarts(const CheckContext& context);

void checkAnswers(const CheckContext& context);
void checkRefusals(const CheckContext& context);
void checkSingleRuns(const CheckContext& context);
void checkShutdowns(const CheckContext& context);

void checkConfigs(const CheckContext& context);

}
