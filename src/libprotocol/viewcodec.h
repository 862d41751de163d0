#pragma once

#include "libdecision/idlelimits.h"
#include "peermessage.h"

#include <string>
#include <string_view>

namespace kingcuptrail {

/// A process's view of the deployment, as sent to another process.
struct DeploymentView {
    RouteTable routes;
    OutageView outages;
    std::vector<PeerEntry> entries;
    /// Longer idle limits of earlier configurations that still apply to some flows; part of the routes.
    std::vector<IdleLimitAge> formerIdleLimits;

    bool operator==(const DeploymentView&) const = default;
};

/// Which parts of a view to send. The requesting process leaves out the parts that it already has.
struct ViewParts {
    bool routes = true;
    bool entries = true;
};

/// Encodes a view. Estimated size: 40 bytes for each route and 100 for each entry.
std::string encodeView(const DeploymentView&, const ViewParts& parts = {});

/// Decodes a view; empty, with the reason in `error`, when the bytes are not a valid view. A part that was left out is
/// default-constructed.
std::optional<DeploymentView> decodeView(std::string_view bytes, FrameError& error);

}
