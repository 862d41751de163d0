#pragma once

#include "agentstate.h"
#include "libplatform/delay.h"
#include "upstreamconnectcheck.h"

namespace kingcuptrail {

/// Tries connections to an upstream that gives signs of having ended. Its timer runs only while there are such signs.
class UpstreamEndWatch {
public:
    /// No connection is tried while `untracked` asks for connections by itself, so that their rates do not add up.
    /// `onEnded` is called when the upstream's process is found to have ended, with the inputs of that decision still in
    /// `state.upstreamEnd`.
    UpstreamEndWatch(AgentState& state, const UntrackedFlows& untracked, std::function<void()> onEnded);

    /// To be called after packets were delivered to the upstream.
    void startIfNeeded();

    void exposeMetrics(std::string& out) const;

private:
    void check();
    void handleOutcome(ConnectionOutcome outcome);

    AgentState& m_state;
    const UntrackedFlows& m_untracked;
    std::function<void()> m_onEnded;
    UpstreamConnectCheck m_connectCheck;
    Delay m_checkTimer;
    Delay m_connectTimer;
    bool m_isChecking = false;
    EnumCounters<ConnectionOutcome> m_outcomes;
};

}
