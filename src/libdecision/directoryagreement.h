#pragma once

#include "ids.h"

namespace kingcuptrail {

struct DirectoryAgreementOptions {
    /// How long a peer's message that its directory is equal remains valid, in milliseconds; several gossip rounds.
    Millis digestValidity = 1500;
};

/// Whether a process may treat its directory as complete, judged by the digests that peers send. When hosts join while
/// balancers are restarted, a new agent's first flows can reach a balancer that does not know the agent yet. All agents
/// that it knows deny the flow, and it would reset a flow that the new upstream holds. Most peers know a new agent within
/// some 20 ms, and a process receives about sixteen digests a second, so a differing digest shows within a tenth of a
/// second that this process or the peer lacks an entry. It cancels every earlier agreement.
struct DirectoryAgreement {
    DirectoryAgreementOptions options;
    /// When a peer last sent an equal digest; 0 when a different one has arrived since.
    Millis agreedAt = 0;
};

/// Records whether the digest that a peer sent equals the own one.
void recordPeerDigest(DirectoryAgreement&, bool isSame, Millis now);

/// Clears the agreement after the process was paused, since earlier digests are out of date.
void resetAgreement(DirectoryAgreement&);

/// Whether the last digest received was equal and is still valid.
bool isAgreed(const DirectoryAgreement&, Millis now);

}
