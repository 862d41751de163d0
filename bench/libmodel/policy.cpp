#include "policy.h"

namespace kingcuptrail {

PolicyOptions policyOptions(PolicyName name)
{
    PolicyOptions options;
    switch (name) {
    case PolicyName::Modulo:
        options.ownerTokens = false;
        options.placing.secondChoice = false;
        break;
    case PolicyName::Ranking:
        options.placing.secondChoice = false;
        break;
    case PolicyName::FixedLimit:
        options.admission.coldStartGuard = false;
        break;
    case PolicyName::Redirects:
        options.redirects.announce = true;
        break;
    case PolicyName::Full:
        break;
    }
    return options;
}

PolicyOptions withoutGuard(GuardOff guard)
{
    PolicyOptions options;
    switch (guard) {
    case GuardOff::None:
        break;
    case GuardOff::OwnerTokens:
        options.ownerTokens = false;
        break;
    case GuardOff::ServiceCheck:
        options.forwarding.serviceGuard = false;
        break;
    case GuardOff::ColdStart:
        options.admission.coldStartGuard = false;
        break;
    case GuardOff::DataCentreOut:
        options.dataCentreGuard = false;
        break;
    case GuardOff::AnswerCheck:
        options.answerGuard = false;
        break;
    case GuardOff::TrueRefusal:
        options.refusalGuard = false;
        break;
    case GuardOff::Ledger:
        options.ledger.guard = false;
        break;
    case GuardOff::Attempts:
        options.attempts.guard = false;
        break;
    case GuardOff::Draining:
        options.drainGuard = false;
        break;
    case GuardOff::DrainWait:
        options.drainWaitGuard = false;
        break;
    case GuardOff::ConfigOrder:
        options.configOrder.guard = false;
        break;
    case GuardOff::ClosedFlows:
        options.closedFlows.guard = false;
        break;
    case GuardOff::Pause:
        options.pause.guard = false;
        break;
    case GuardOff::Return:
        options.configOrder.returnGuard = false;
        break;
    case GuardOff::CloseGrace:
        options.drain.closeGrace = 0;
        break;
    }
    return options;
}

}
