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

PolicyOptions withoutGuard(DisabledGuard guard)
{
    PolicyOptions options;
    switch (guard) {
    case DisabledGuard::None:
        break;
    case DisabledGuard::OwnerTokens:
        options.ownerTokens = false;
        break;
    case DisabledGuard::ServiceCheck:
        options.forwarding.serviceGuard = false;
        break;
    case DisabledGuard::ColdStart:
        options.admission.coldStartGuard = false;
        break;
    case DisabledGuard::DataCentreOut:
        options.dataCentreGuard = false;
        break;
    case DisabledGuard::AnswerCheck:
        options.answerGuard = false;
        break;
    case DisabledGuard::TrueRefusal:
        options.refusalGuard = false;
        break;
    case DisabledGuard::Ledger:
        options.ledger.guard = false;
        break;
    case DisabledGuard::Attempts:
        options.attempts.guard = false;
        break;
    case DisabledGuard::Draining:
        options.drainGuard = false;
        break;
    case DisabledGuard::DrainWait:
        options.drainWaitGuard = false;
        break;
    case DisabledGuard::ConfigOrder:
        options.configOrder.guard = false;
        break;
    case DisabledGuard::ClosedFlows:
        options.closedFlows.guard = false;
        break;
    case DisabledGuard::Pause:
        options.pause.guard = false;
        break;
    case DisabledGuard::Return:
        options.configOrder.returnGuard = false;
        break;
    case DisabledGuard::CloseGrace:
        options.drain.closeGrace = 0;
        break;
    }
    return options;
}

}
