#pragma once

#include "libdecision/flowadmission.h"
#include "libdecision/refusal.h"
#include "libdecision/resetreason.h"
#include "libhttp/http.h"
#include "libplatform/configapply.h"
#include "libprotocol/link.h"
#include "libruntime/events.h"
#include "libruntime/supervisor.h"

#include <string>
#include <string_view>
#include <vector>

namespace kingcuptrail {

/// The meaning of a reason or event, and what an operator can do about it.
struct Explanation {
    std::string_view meaning;
    std::string_view action;
};

Explanation explanationOf(RefusalReason reason);
Explanation explanationOf(OpeningRefusal refusal);
Explanation explanationOf(ResetReason reason);
Explanation explanationOf(LinkError error);
Explanation explanationOf(PlatformError error);
Explanation explanationOf(HttpError error);
Explanation explanationOf(ApplyError error);
Explanation explanationOf(ChildFailure failure);

/// An explanation with the name that it was found by.
struct FoundExplanation {
    /// The kind of the reason, such as "refusal".
    std::string subject;
    std::string name;
    Explanation explanation;
};

/// The explanations of all reasons and events with this name, or of the event with this number ("310" or "E310"). A name
/// may be used for several kinds of reasons.
std::vector<FoundExplanation> findExplanations(std::string_view codeOrName);

}
