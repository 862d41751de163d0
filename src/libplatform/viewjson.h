#pragma once

#include "libdecision/directory.h"
#include "libdecision/routetable.h"

#include <optional>
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

std::string toJson(const DeploymentView&, const ViewParts& parts = {});
/// Reads a view; nothing when the text is not one. A part that was left out is as in a new view.
std::optional<DeploymentView> parseView(std::string_view json);

/// An announcement as the store holds it.
std::string toJson(const PeerEntry&);
std::optional<PeerEntry> parsePeerEntry(std::string_view json);

}
