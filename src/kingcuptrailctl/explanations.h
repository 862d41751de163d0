#pragma once

#include "libdecision/opengate.h"
#include "libdecision/refusal.h"
#include "libhttp/http.h"
#include "libplatform/configapply.h"
#include "libprotocol/link.h"
#include "libruntime/events.h"
#include "libruntime/supervisor.h"

#include <string>
#include <string_view>
#include <vector>

namespace kingcuptrail {

/// What a reason means and what an operator can do about it.
struct Explanation {
    std::string_view meaning;
    std::string_view action;
};

Explanation explanationOf(RefusalReason reason);
Explanation explanationOf(OpenRefusal refusal);
Explanation explanationOf(LinkError error);
Explanation explanationOf(PlatformError error);
Explanation explanationOf(HttpError error);
Explanation explanationOf(ApplyError error);
Explanation explanationOf(ChildFailure failure);

/// An explanation found by a name or number.
struct FoundExplanation {
    /// What it is the reason of, as "refusal".
    std::string subject;
    std::string name;
    Explanation explanation;
};

/// All that bear this name, or the event of this number ("310" or "E310"). Some names stand in several tables.
std::vector<FoundExplanation> findExplanations(std::string_view codeOrName);

}
