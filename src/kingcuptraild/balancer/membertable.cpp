#include "membertable.h"

#include <algorithm>

namespace kingcuptrail {

void MemberTable::setPresences(const std::vector<Presence>& presences)
{
    for (auto& [token, entry] : m_entries)
        entry.isAnnounced = false;
    for (const Presence& presence : presences) {
        Entry& entry = m_entries[presence.token];
        entry.presence = presence;
        entry.isAnnounced = true;
    }
    std::erase_if(m_entries, [](const auto& item) { return !item.second.isAnnounced && !item.second.link; });
    rebuild();
}

void MemberTable::setConfig(const Config& config)
{
    m_config = config;
    rebuild();
}

void MemberTable::addLink(const OwnerToken& token, std::shared_ptr<PeerLink> link)
{
    const auto found = m_entries.find(token);
    if (found == m_entries.end())
        return;
    found->second.link = std::move(link);
    found->second.hasEnded = false;
    rebuild();
}

void MemberTable::removeLink(const OwnerToken& token)
{
    const auto found = m_entries.find(token);
    if (found == m_entries.end())
        return;
    found->second.link = nullptr;
    if (!found->second.isAnnounced)
        m_entries.erase(found);
    rebuild();
}

void MemberTable::setProcessEnded(const OwnerToken& token)
{
    const auto found = m_entries.find(token);
    if (found == m_entries.end())
        return;
    found->second.hasEnded = true;
    updateMember(found->second);
}

void MemberTable::setReport(const OwnerToken& token, const LoadReport& report)
{
    const auto found = m_entries.find(token);
    if (found == m_entries.end())
        return;
    found->second.report = report;
    found->second.placedSinceReport = 0;
    updateMember(found->second);
}

void MemberTable::countPlacedFlow(const OwnerToken& token)
{
    const auto found = m_entries.find(token);
    if (found == m_entries.end())
        return;
    ++found->second.placedSinceReport;
    updateMember(found->second);
}

void MemberTable::handleLinkGoodbye(const OwnerToken& token)
{
    const auto found = m_entries.find(token);
    if (found != m_entries.end())
        updateMember(found->second);
}

const MemberTable::Entry* MemberTable::find(const OwnerToken& token) const
{
    const auto found = m_entries.find(token);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<OwnerToken> MemberTable::tokens() const
{
    std::vector<OwnerToken> tokens;
    for (const auto& [token, entry] : m_entries)
        tokens.push_back(token);
    return tokens;
}

std::span<const Member> MemberTable::members(ServiceAddress address) const
{
    const auto found = m_byService.find(address);
    return found == m_byService.end() ? std::span<const Member>() : std::span<const Member>(found->second);
}

std::size_t MemberTable::linkedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_all.begin(), m_all.end(), [](const Member& member) { return member.linked; }));
}

std::shared_ptr<PeerLink> MemberTable::anyLink(std::uint64_t salt) const
{
    std::vector<const Member*> usable;
    for (const Member& member : m_all) {
        if (member.linked && member.state != MemberState::Out)
            usable.push_back(&member);
    }
    if (usable.empty())
        return nullptr;
    return find(usable[salt % usable.size()]->token)->link;
}

MemberState MemberTable::stateOf(const Entry& entry) const
{
    if (m_config.isOut(entry.presence.dataCentre))
        return MemberState::Out;
    // The agent's report over its link is newer than the platform's entry. A member counts as draining if either says so.
    if (!entry.isAnnounced || entry.presence.state == MemberState::Lapsed)
        return MemberState::Lapsed;
    if (entry.presence.state == MemberState::Draining || entry.report.state == MemberState::Draining)
        return MemberState::Draining;
    return MemberState::Serving;
}

Member MemberTable::memberOf(const Entry& entry) const
{
    return {
        .token = entry.presence.token,
        .state = stateOf(entry),
        .linked = entry.link && entry.link->isUsable(),
        .gone = entry.hasEnded,
        .load = static_cast<double>(entry.report.openFlows) + entry.placedSinceReport,
    };
}

void MemberTable::rebuild()
{
    m_byService.clear();
    m_all.clear();
    for (const auto& [token, entry] : m_entries) {
        const Member member = memberOf(entry);
        m_all.push_back(member);
        if (const ServiceConfig* service = m_config.findService(entry.presence.service))
            m_byService[service->address].push_back(member);
    }
    m_index = buildMemberIndex(m_all);
}

// Every heartbeat and every placed flow changes the load of one member. A rebuild for each of thousands of heartbeats would
// copy thousands of members, so only the entries of this member are updated.
void MemberTable::updateMember(const Entry& entry)
{
    const Member member = memberOf(entry);
    if (const auto position = findMember(m_index, member.token).exact)
        m_all[*position] = member;
    const ServiceConfig* service = m_config.findService(entry.presence.service);
    if (!service)
        return;
    for (Member& known : m_byService[service->address]) {
        if (known.token == member.token)
            known = member;
    }
}

}
