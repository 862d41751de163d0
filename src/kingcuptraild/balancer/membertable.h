#pragma once

#include "kingcuptraild/peerlink.h"
#include "libdecision/member.h"
#include "libdecision/routing.h"
#include "libplatform/config.h"
#include "libplatform/presence.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuptrail {

/// The upstreams that a balancer knows, by owner token: which are announced, which have a link, and the load they report.
/// A replaced process and its successor have separate entries, so that packets of existing flows reach the old process
/// until it ends.
class MemberTable {
public:
    struct Entry {
        Presence presence;
        std::shared_ptr<PeerLink> link;
        LoadReport report;
        /// Flows that this balancer placed on the member since the member's last report.
        std::uint32_t placedSinceReport = 0;
        /// Whether the platform's last list contains the member.
        bool isAnnounced = false;
        /// Whether the member's process is known to have ended.
        bool hasEnded = false;
    };

    /// Applies the platform's list. Entries that are no longer announced stay while their link is up.
    void setPresences(const std::vector<Presence>& presences);
    void setConfig(const Config& config);

    void addLink(const OwnerToken& token, std::shared_ptr<PeerLink> link);
    void removeLink(const OwnerToken& token);
    /// Updates a member whose agent sent a goodbye: its link must not be used for new packets.
    void handleLinkGoodbye(const OwnerToken& token);
    /// Records that the process with this token has ended.
    void setProcessEnded(const OwnerToken& token);
    void setReport(const OwnerToken& token, const LoadReport& report);
    void countPlacedFlow(const OwnerToken& token);

    const Entry* find(const OwnerToken& token) const;
    std::vector<OwnerToken> tokens() const;

    /// Members of a service, for placement and ranking.
    std::span<const Member> members(ServiceAddress address) const;

    /// All members, and their index by owner token.
    std::span<const Member> allMembers() const { return m_all; }
    const MemberIndex& index() const { return m_index; }

    std::size_t linkedCount() const;
    /// A usable link to any member that is not out of service; `salt` spreads the choice. Null when there is none.
    std::shared_ptr<PeerLink> anyLink(std::uint64_t salt) const;

private:
    MemberState stateOf(const Entry& entry) const;
    Member memberOf(const Entry& entry) const;
    void rebuild();
    void updateMember(const Entry& entry);

    Config m_config;
    std::map<OwnerToken, Entry> m_entries;
    std::unordered_map<ServiceAddress, std::vector<Member>> m_byService;
    std::vector<Member> m_all;
    MemberIndex m_index;
};

}
