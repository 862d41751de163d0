#include "peermessage.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    FlowKey toFlow(const wire::Flow& flow)
    {
        return {
            .caller = { .address = flow.caller_address(), .port = flow.caller_port() },
            .service = { .address = flow.service_address(), .port = flow.service_port() },
        };
    }

    wire::Flow toWire(const FlowKey& flow)
    {
        return { flow.caller.address, flow.service.address, flow.caller.port, flow.service.port };
    }

    wire::PendingRequest toWire(const PendingRequest& request)
    {
        return { request.flow.caller.address, request.flow.service.address, request.balancer, request.acknowledged, request.flow.caller.port, request.flow.service.port };
    }

    PendingRequest toPendingRequest(const wire::PendingRequest& request)
    {
        return {
            .flow = {
                .caller = { .address = request.caller_address(), .port = request.caller_port() },
                .service = { .address = request.service_address(), .port = request.service_port() },
            },
            .balancer = request.balancer(),
            .acknowledged = request.acknowledged(),
        };
    }

    std::string textOf(const flatbuffers::String* text)
    {
        return text ? text->str() : std::string();
    }

    flatbuffers::Offset<wire::PeerEntry> pack(flatbuffers::FlatBufferBuilder& builder, const PeerEntry& entry)
    {
        return wire::CreatePeerEntryDirect(builder, entry.name.c_str(), static_cast<std::uint8_t>(entry.role), entry.address,
            entry.dataCentre.c_str(), entry.service.c_str(), static_cast<std::uint8_t>(entry.state), entry.slots, entry.epoch);
    }

    flatbuffers::Offset<flatbuffers::Vector<const wire::PendingRequest*>> packPending(flatbuffers::FlatBufferBuilder& builder, std::span<const PendingRequest> requests)
    {
        std::vector<wire::PendingRequest> packed;
        for (const PendingRequest& request : requests.first(std::min(requests.size(), maxPendingRequestsPerMessage)))
            packed.push_back(toWire(request));
        return builder.CreateVectorOfStructs(packed);
    }

    std::span<const std::uint8_t> finishedBytes(const flatbuffers::FlatBufferBuilder& builder)
    {
        return { builder.GetBufferPointer(), builder.GetSize() };
    }

}

std::optional<PeerMessage> decodePeerMessage(std::span<const std::uint8_t> datagram, FrameError& error)
{
    flatbuffers::Verifier verifier(datagram.data(), datagram.size());
    if (!wire::VerifyPeerMessageBuffer(verifier)) {
        error = FrameError::Malformed;
        return std::nullopt;
    }
    const wire::PeerMessage* table = wire::GetPeerMessage(datagram.data());
    if (table->kind() > wire::PeerKind::MAX) {
        error = FrameError::NoBody;
        return std::nullopt;
    }
    PeerMessage message { .kind = table->kind(), .configVersion = table->config_version(), .acknowledged = table->acknowledged(), .digest = table->digest(), .needsFreeSlot = table->needs_free_slot(), .holder = table->holder(), .table = table };
    if (const auto* flow = table->flow())
        message.flow = toFlow(*flow);
    if (const auto* load = table->load())
        message.load = { .atWork = load->at_work(), .slots = load->slots(), .usual = load->usual(), .isCold = load->cold() };
    message.refusal = fromNumber<OpeningRefusal>(table->reason()).value_or(OpeningRefusal::None);
    if (const auto* packet = table->packet())
        message.packet = { packet->data(), packet->size() };
    if (const auto* excluded = table->excluded())
        message.excluded.assign(excluded->begin(), excluded->end());
    if (const auto* denied = table->denied())
        message.denied.assign(denied->begin(), denied->end());
    message.haveOthersDenied = table->others_denied();
    if (const auto* service = table->service())
        message.service = service->string_view();
    error = FrameError::None;
    return message;
}

std::span<const std::uint8_t> PeerMessageEncoder::encode(const FlowMessage& message)
{
    m_builder.Clear();
    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> packet;
    if (!message.packet.empty())
        packet = m_builder.CreateVector(message.packet.data(), message.packet.size());
    flatbuffers::Offset<flatbuffers::Vector<std::uint32_t>> excluded;
    if (!message.excluded.empty())
        excluded = m_builder.CreateVector(message.excluded);
    flatbuffers::Offset<flatbuffers::Vector<std::uint32_t>> denied;
    if (!message.denied.empty())
        denied = m_builder.CreateVector(message.denied);
    flatbuffers::Offset<flatbuffers::Vector<const wire::PendingRequest*>> pending;
    if (!message.pending.empty())
        pending = packPending(m_builder, message.pending);
    flatbuffers::Offset<flatbuffers::String> service;
    if (!message.service.empty())
        service = m_builder.CreateString(message.service);
    const wire::Flow flow = toWire(message.flow);
    wire::PeerMessageBuilder builder(m_builder);
    builder.add_kind(message.kind);
    builder.add_flow(&flow);
    builder.add_reason(static_cast<std::uint8_t>(message.refusal));
    builder.add_config_version(message.configVersion);
    builder.add_acknowledged(message.acknowledged);
    builder.add_digest(message.digest);
    builder.add_needs_free_slot(message.needsFreeSlot);
    builder.add_holder(message.holder);
    if (message.load) {
        const wire::AgentLoad load(message.load->atWork, message.load->slots, message.load->usual, message.load->isCold);
        builder.add_load(&load);
    }
    if (!message.packet.empty())
        builder.add_packet(packet);
    if (!message.excluded.empty())
        builder.add_excluded(excluded);
    if (!message.denied.empty())
        builder.add_denied(denied);
    builder.add_others_denied(message.haveOthersDenied);
    if (!message.service.empty())
        builder.add_service(service);
    if (!message.pending.empty())
        builder.add_pending(pending);
    m_builder.Finish(builder.Finish());
    return finishedBytes(m_builder);
}

std::span<const std::uint8_t> PeerMessageEncoder::encode(const GossipMessage& message)
{
    m_builder.Clear();
    std::vector<flatbuffers::Offset<wire::PeerEntry>> entries;
    for (const PeerEntry& entry : message.entries)
        entries.push_back(pack(m_builder, entry));
    const auto packedEntries = m_builder.CreateVector(entries);
    std::vector<flatbuffers::Offset<wire::StoreReader>> readers;
    for (const ReaderHeartbeat& reader : message.readers)
        readers.push_back(wire::CreateStoreReaderDirect(m_builder, reader.name.c_str(), reader.beat, reader.hasStopped));
    const auto packedReaders = m_builder.CreateVector(readers);
    flatbuffers::Offset<wire::Outages> outages;
    if (message.outages)
        outages = wire::CreateOutages(m_builder, message.outages->revision, m_builder.CreateVectorOfStrings(message.outages->out));
    wire::PeerMessageBuilder builder(m_builder);
    builder.add_kind(wire::PeerKind::News);
    builder.add_config_version(message.configVersion);
    builder.add_digest(message.digest);
    builder.add_agents_digest(message.agentsDigest);
    if (message.outages)
        builder.add_outages(outages);
    builder.add_entries(packedEntries);
    builder.add_readers(packedReaders);
    builder.add_wants_answer(message.wantsAnswer);
    m_builder.Finish(builder.Finish());
    return finishedBytes(m_builder);
}

std::span<const std::uint8_t> PeerMessageEncoder::encode(const DigestsMessage& message)
{
    m_builder.Clear();
    const auto digests = m_builder.CreateVector(message.digests);
    wire::PeerMessageBuilder builder(m_builder);
    builder.add_kind(wire::PeerKind::DirectoryDigests);
    builder.add_config_version(message.configVersion);
    builder.add_digests(digests);
    builder.add_wants_answer(message.wantsAnswer);
    builder.add_differs_much(message.differsMuch);
    builder.add_max_entries(message.maxEntries);
    m_builder.Finish(builder.Finish());
    return finishedBytes(m_builder);
}

std::span<const std::uint8_t> PeerMessageEncoder::encode(const EntryDigestsMessage& message)
{
    m_builder.Clear();
    const auto digests = m_builder.CreateVector(message.digests.digests);
    const auto buckets = m_builder.CreateVector(message.digests.buckets);
    wire::PeerMessageBuilder builder(m_builder);
    builder.add_kind(message.kind);
    builder.add_config_version(message.configVersion);
    builder.add_digests(digests);
    builder.add_buckets(buckets);
    builder.add_differs_much(message.digests.isPartial);
    builder.add_max_entries(message.maxEntries);
    m_builder.Finish(builder.Finish());
    return finishedBytes(m_builder);
}

HolderAnswer holderAnswerOf(wire::PeerKind kind)
{
    switch (kind) {
    case wire::PeerKind::Held:
        return HolderAnswer::Held;
    case wire::PeerKind::NotHeld:
        return HolderAnswer::NotHeld;
    default:
        return HolderAnswer::Unsure;
    }
}

wire::PeerKind peerKindOf(HolderAnswer answer)
{
    switch (answer) {
    case HolderAnswer::Held:
        return wire::PeerKind::Held;
    case HolderAnswer::NotHeld:
        return wire::PeerKind::NotHeld;
    case HolderAnswer::Unsure:
        break;
    }
    return wire::PeerKind::Unsure;
}

std::vector<PeerEntry> entriesOf(const PeerMessage& message)
{
    const auto* packed = message.table->entries();
    return packed ? entriesOf(*packed) : std::vector<PeerEntry> {};
}

std::vector<PeerEntry> entriesOf(const flatbuffers::Vector<flatbuffers::Offset<wire::PeerEntry>>& packed)
{
    std::vector<PeerEntry> entries;
    for (const wire::PeerEntry* entry : packed) {
        const auto role = fromNumber<PeerRole>(entry->role());
        const auto state = fromNumber<PeerState>(entry->state());
        // A later release may use roles and states that this one does not know; such entries are skipped.
        if (!role || !state || !entry->name())
            continue;
        entries.push_back({
            .name = textOf(entry->name()),
            .role = *role,
            .address = entry->address(),
            .dataCentre = textOf(entry->data_centre()),
            .service = textOf(entry->service()),
            .state = *state,
            .slots = entry->slots(),
            .epoch = entry->epoch(),
        });
    }
    return entries;
}

std::vector<std::uint32_t> digestsOf(const PeerMessage& message)
{
    const auto* packed = message.table->digests();
    return packed ? std::vector<std::uint32_t>(packed->begin(), packed->end()) : std::vector<std::uint32_t> {};
}

EntryDigests entryDigestsOf(const PeerMessage& message)
{
    EntryDigests digests { .digests = digestsOf(message), .isPartial = message.table->differs_much() };
    if (const auto* buckets = message.table->buckets())
        digests.buckets.assign(buckets->begin(), buckets->end());
    return digests;
}

std::vector<PendingRequest> pendingRequestsOf(const PeerMessage& message)
{
    std::vector<PendingRequest> requests;
    if (const auto* packed = message.table->pending()) {
        for (const wire::PendingRequest* request : *packed) {
            if (requests.size() == maxPendingRequestsPerMessage)
                break;
            requests.push_back(toPendingRequest(*request));
        }
    }
    return requests;
}

std::vector<ReaderHeartbeat> readerHeartbeatsOf(const PeerMessage& message)
{
    std::vector<ReaderHeartbeat> readers;
    if (const auto* packed = message.table->readers()) {
        for (const wire::StoreReader* reader : *packed)
            readers.push_back({ .name = textOf(reader->name()), .beat = reader->beat(), .hasStopped = reader->stopped() });
    }
    return readers;
}

std::optional<OutageView> outagesOf(const PeerMessage& message)
{
    const auto* packed = message.table->outages();
    if (!packed)
        return std::nullopt;
    OutageView view { .revision = packed->revision(), .out = {} };
    if (const auto* out = packed->out()) {
        for (const auto* name : *out)
            view.out.push_back(textOf(name));
    }
    return view;
}

}
