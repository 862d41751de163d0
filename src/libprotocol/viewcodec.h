#pragma once

#include "peermessage.h"

#include <string>
#include <string_view>

namespace kingcuptrail {

/// All that a process believes of the deployment, as one process hands it to another.
struct DeploymentView {
    RouteTable routes;
    OutageView outages;
    std::vector<PeerEntry> entries;

    bool operator==(const DeploymentView&) const = default;
};

/// Which parts of a view are wanted; whoever asks leaves out what it has.
struct ViewParts {
    bool routes = true;
    bool entries = true;
};

/// The view as bytes; by estimate some 40 a route and 100 an entry.
std::string encodeView(const DeploymentView&, const ViewParts& parts = {});

/// Reads a view; nothing when the bytes are not one. A part that was left out is as in a new view.
std::optional<DeploymentView> decodeView(std::string_view bytes, FrameError& error);

}
