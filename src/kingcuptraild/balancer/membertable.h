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

/// The upstreams a balancer knows, by owner token: who announced itself, whose link is up, how loaded each says it is.
/// A replaced process and its successor are two entries, so that flows of the old one find it until it ends.
class MemberTable {
public:
    struct Entry {
        Presence presence;
        std::shared_ptr<PeerLink> link;
        LoadReport report;
        /// Flows placed here by this balancer since the last report.
        std::uint32_t placedSince = 0;
        /// Whether the platform's last list has it.
        bool isAnnounced = false;
        /// Whether its process is known to have ended.
        bool isGone = false;
    };

    /// Takes the platform's list. Entries that are no longer announced stay while their link lives.
    void setPresences(const std::vector<Presence>& presences);
    void setConfig(const Config& config);

    void linkUp(const OwnerToken& token, std::shared_ptr<PeerLink> link);
    void linkDown(const OwnerToken& token);
    /// The agent said goodbye: nothing new goes over its link.
    void linkLeaving(const OwnerToken& token);
    /// The process behind the token is known to have ended.
    void setGone(const OwnerToken& token);
    void setReport(const OwnerToken& token, const LoadReport& report);
    void notePlaced(const OwnerToken& token);

    const Entry* find(const OwnerToken& token) const;
    std::vector<OwnerToken> tokens() const;

    /// Members of a service, for placing and ranking.
    std::span<const Member> members(ServiceAddress address) const;

    /// All members, and where to find one by its token.
    std::span<const Member> allMembers() const { return m_all; }
    const MemberIndex& index() const { return m_index; }

    std::size_t linkedCount() const;
    /// Any link that may carry a packet onward; `salt` spreads the choice.
    std::shared_ptr<PeerLink> anyLink(std::uint64_t salt) const;

private:
    MemberState stateOf(const Entry& entry) const;
    Member memberOf(const Entry& entry) const;
    void rebuild();
    void refresh(const Entry& entry);

    Config m_config;
    std::map<OwnerToken, Entry> m_entries;
    std::unordered_map<ServiceAddress, std::vector<Member>> m_byService;
    std::vector<Member> m_all;
    MemberIndex m_index;
};

}
