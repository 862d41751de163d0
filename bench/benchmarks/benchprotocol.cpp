#include "libprotocol/flowendpoint.h"
#include "libprotocol/framing.h"

#include <benchmark/benchmark.h>

using namespace kingcuptrail;

namespace {

wire::PacketT makePacket(std::size_t payload)
{
    wire::PacketT packet;
    packet.kind = wire::PacketKind::Segment;
    packet.service = packet.flow = packet.source = packet.owner_upstream = packet.owner_incarnation = 1ULL << 40;
    packet.sequence = 1;
    packet.payload.resize(payload);
    return packet;
}

void encodePacket(benchmark::State& state)
{
    const auto payload = static_cast<std::size_t>(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(encodeFrameOf(makePacket(payload)));
    state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations()) * state.range(0));
}
BENCHMARK(encodePacket)->Arg(0)->Arg(1024)->Arg(16384);

void decodePacket(benchmark::State& state)
{
    const Bytes frame = encodeFrameOf(makePacket(static_cast<std::size_t>(state.range(0))));
    FrameReader reader;
    for (auto _ : state) {
        reader.append(frame);
        const auto view = reader.next();
        benchmark::DoNotOptimize(view->frame->body_as_Packet()->flow());
    }
    state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations()) * state.range(0));
}
BENCHMARK(decodePacket)->Arg(0)->Arg(1024)->Arg(16384);

/// Sends one segment between two endpoints and acknowledges it.
void sendAndReceive(benchmark::State& state)
{
    FlowEndpoint sender;
    FlowEndpoint receiver;
    Millis now = 0;
    for (auto _ : state) {
        ++now;
        sender.send(Bytes(static_cast<std::size_t>(state.range(0))));
        for (const FlowEndpoint::Segment& segment : sender.collectOutgoing(now))
            receiver.receive(segment.sequence, Bytes(*segment.payload));
        benchmark::DoNotOptimize(receiver.dequeuePayload());
        sender.acknowledge(receiver.receivedUpTo(), now);
    }
}
BENCHMARK(sendAndReceive)->Arg(64)->Arg(16384);

}
