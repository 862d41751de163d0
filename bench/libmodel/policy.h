#pragma once

#include "libdecision/admission.h"
#include "libdecision/attempts.h"
#include "libdecision/closedflows.h"
#include "libdecision/configorder.h"
#include "libdecision/drain.h"
#include "libdecision/enumnames.h"
#include "libdecision/forwarding.h"
#include "libdecision/ledger.h"
#include "libdecision/pausewatch.h"
#include "libdecision/placing.h"
#include "libdecision/redirects.h"

namespace kingcuptrail {

/// The policies an experiment compares in one run.
enum class PolicyName : std::uint8_t {
    /// Baseline: flow id modulo the members, no owner tokens, no redirects.
    Modulo,
    /// Baseline: first-ranked member only, no redirects.
    Ranking,
    /// Baseline: the slots as the limit, no warm-up.
    FixedLimit,
    /// Full, and agents tell the first-ranked one of the flows that they open.
    Redirects,
    /// Everything that the daemons do.
    Full,
};

template <>
struct EnumNames<PolicyName> {
    static constexpr std::array<std::string_view, 5> names { "modulo", "ranking", "fixed-limit", "redirects", "full" };
};

/// A guard that a run can be made without, to show that the history checker sees what it prevents.
enum class GuardOff : std::uint8_t {
    None,
    OwnerTokens,
    ServiceCheck,
    ColdStart,
    DataCentreOut,
    AnswerCheck,
    TrueRefusal,
    Ledger,
    Attempts,
    Draining,
    DrainWait,
    ConfigOrder,
    ClosedFlows,
    Pause,
    Return,
    CloseGrace,
};

template <>
struct EnumNames<GuardOff> {
    static constexpr std::array<std::string_view, 16> names {
        "none",
        "ownerTokens",
        "serviceCheck",
        "coldStart",
        "dataCentreOut",
        "answerCheck",
        "trueRefusal",
        "ledger",
        "attempts",
        "draining",
        "drainWait",
        "configOrder",
        "closedFlows",
        "pause",
        "return",
        "closeGrace",
    };
};

/// What the modelled processes do, as options of the decisions and switches of the wiring around them.
struct PolicyOptions {
    bool ownerTokens = true;
    RedirectOptions redirects;
    PlaceOptions placing;
    AdmissionOptions admission;
    LedgerOptions ledger;
    AttemptsOptions attempts;
    ForwardingOptions forwarding;
    ConfigOrderOptions configOrder;
    ClosedFlowOptions closedFlows;
    PauseOptions pause;
    DrainOptions drain;
    /// Test only: off, an agent in a data centre taken out goes on, and balancers go on sending to it.
    bool dataCentreGuard = true;
    /// Test only: off, callers take any answer that comes on their flow.
    bool answerGuard = true;
    /// Test only: off, work lost at the upstream is refused as not run.
    bool refusalGuard = true;
    /// Test only: off, a leaving upstream is treated as serving.
    bool drainGuard = true;
    /// Test only: off, a leaving agent stops without waiting for its flows.
    bool drainWaitGuard = true;
};

PolicyOptions policyOptions(PolicyName name);

/// Everything but one guard.
PolicyOptions withoutGuard(GuardOff guard);

}
