// The part of PeerNetwork that compares the directory with those of peers.

#include "peernetwork.h"

#include "libdecision/gossipsize.h"

#include <algorithm>

namespace kingcuptrail {

// No search can end with a flow declared lost while directories differ. The bytes of a comparison grow with the difference and
// not with the size of the directory, so that it can be repeated at short intervals.
void PeerNetwork::compareDirectory(std::uint32_t address)
{
    if (tryBeginComparison(m_comparisons, isFar(address), m_clock.now()))
        sendDigests(address, true, false);
}

bool PeerNetwork::isFar(std::uint32_t address) const
{
    const PeerEntry* entry = findByAddress(m_directory, address);
    return entry && entry->dataCentre != m_settings.dataCentre;
}

void PeerNetwork::sendDigests(std::uint32_t address, bool wantsAnswer, bool differsMuch)
{
    transmit(m_encoder.encode(DigestsMessage { .configVersion = m_view.routes.version, .digests = bucketDigestsOf(m_directory), .wantsAnswer = wantsAnswer, .differsMuch = differsMuch, .maxEntries = maxEntries() }), wire::PeerKind::DirectoryDigests, address);
}

// The receiver answers with digests of single entries where the buckets differ, so that neither side sends what the other has.
void PeerNetwork::handleDigests(const PeerMessage& message, std::uint32_t sender)
{
    if (message.table->max_entries() == 0) {
        answerWithDifference(message, sender);
        return;
    }
    if (!message.table->wants_answer())
        return;
    EntryDigests digests = entryDigestsFor(m_directory, digestsOf(message), m_random());
    if (!digests.buckets.empty())
        transmit(m_encoder.encode(EntryDigestsMessage { .configVersion = m_view.routes.version, .digests = std::move(digests), .maxEntries = maxEntries() }), wire::PeerKind::EntryDigests, sender);
}

// Processes of an earlier release do not know the digests of single entries. The entries are sent before the digests, so that
// the peer's answer does not repeat entries that it has just received.
void PeerNetwork::answerWithDifference(const PeerMessage& message, std::uint32_t sender)
{
    const DirectoryDifference difference = differenceTo(m_directory, digestsOf(message));
    sendEntries(sender, difference.entries);
    // A large difference is seen first by the process that has the entries and needs no fetch itself, so it notifies the peer,
    // which then fetches the directory.
    const bool isAnswer = !message.table->wants_answer();
    if (!isAnswer || (difference.isLarge && !message.table->differs_much()))
        sendDigests(sender, false, difference.isLarge);
    if (message.table->differs_much())
        fetchDirectory(sender);
}

void PeerNetwork::handleEntryDigests(const PeerMessage& message, std::uint32_t sender)
{
    const EntryDigests ofPeer = entryDigestsOf(message);
    const DirectoryExchange exchange = exchangeFor(m_directory, ofPeer, std::min(message.table->max_entries(), maxEntries()), maxEntries());
    sendEntries(sender, exchange.entries);
    if (!exchange.wanted.empty())
        transmit(m_encoder.encode(EntryDigestsMessage { .kind = wire::PeerKind::EntryRequest, .configVersion = m_view.routes.version, .digests = { .buckets = ofPeer.buckets, .digests = exchange.wanted }, .maxEntries = maxEntries() }), wire::PeerKind::EntryRequest, sender);
    if (exchange.isPartial)
        m_comparisonTimer.start(DirectoryDifferenceOptions {}.interval, [this, sender] { compareDirectory(sender); });
}

void PeerNetwork::sendEntries(std::uint32_t address, std::span<const PeerEntry> entries)
{
    while (!entries.empty()) {
        const auto part = entries.first(entriesThatFit(entries));
        sendGossip(address, { part.begin(), part.end() }, GossipPurpose::Announcement);
        entries = entries.subspan(part.size());
    }
}

std::uint32_t PeerNetwork::maxEntries() const
{
    return static_cast<std::uint32_t>(acceptedEntries(m_settings.packets.linkMegabits));
}

}
