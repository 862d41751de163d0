#pragma once

#include "libdecision/admission.h"
#include "libdecision/attempts.h"
#include "libdecision/closedflows.h"
#include "libdecision/configorder.h"
#include "libdecision/drain.h"
#include "libdecision/enumnames.h"
#include "libdecision/forwarding.h"
#include "libdecision/ledger.h"
#include "libdecision/pausedetector.h"
#include "libdecision/placing.h"
#include "libdecision/redirects.h"

namespace kingcuptrail {

/// The policies that an experiment compares.
enum class PolicyName : std::uint8_t {
    /// Baseline: flow id modulo the members, no owner tokens, no redirects.
    Modulo,
    /// Baseline: only the first-ranked member, no redirects.
    Ranking,
    /// Baseline: the number of slots as the limit, no warm-up.
    FixedLimit,
    /// Full, with agents that send redirects for the flows that they open to the first-ranked agent.
    Redirects,
    /// The behaviour of the daemons.
    Full,
};

template <>
struct EnumNames<PolicyName> {
    static constexpr std::array<std::string_view, 5> names { "modulo", "ranking", "fixed-limit", "redirects", "full" };
};

/// A guard that can be disabled in a run, to show that the history checker detects the violations that the guard prevents.
enum class DisabledGuard : std::uint8_t {
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
struct EnumNames<DisabledGuard> {
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

/// The behaviour of the modelled processes: options of libdecision and switches of the code around it.
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
    PauseDetectorOptions pause;
    DrainOptions drain;
    /// For tests only: if false, agents in a data centre that was taken out of service continue, and balancers continue to use
    /// them.
    bool dataCentreGuard = true;
    /// For tests only: if false, callers accept any answer that arrives on their flow.
    bool answerGuard = true;
    /// For tests only: if false, work that was lost at the upstream is refused as not run.
    bool refusalGuard = true;
    /// For tests only: if false, a draining upstream is treated as serving.
    bool drainGuard = true;
    /// For tests only: if false, a draining agent exits without waiting for its flows.
    bool drainWaitGuard = true;
};

/// The options of a policy.
PolicyOptions policyOptions(PolicyName name);

/// The full behaviour with one guard disabled.
PolicyOptions withoutGuard(DisabledGuard guard);

}
