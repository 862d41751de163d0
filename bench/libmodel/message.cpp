#include "message.h"

namespace kingcuptrail {

namespace {

    /// Sizes of encoded frames with their length prefix; a test in tests/bench compares them with libprotocol's encoding.
    constexpr std::size_t packetBytes = 88;
    constexpr std::size_t heartbeatBytes = 64;
    constexpr std::size_t configBytes = 400;
    constexpr std::size_t redirectBaseBytes = 48;
    constexpr std::size_t redirectEntryBytes = 44;
    constexpr std::size_t ledgerBytes = 104;

    struct SizeOf {
        std::size_t operator()(const FlowPacket&) const { return packetBytes; }
        std::size_t operator()(const HeartbeatMessage&) const { return heartbeatBytes; }
        std::size_t operator()(const ConfigMessage&) const { return configBytes; }
        std::size_t operator()(const RedirectMessage& message) const { return redirectBaseBytes + redirectEntryBytes * message.entries.size(); }
        std::size_t operator()(const LedgerQueryMessage&) const { return ledgerBytes; }
        std::size_t operator()(const LedgerAnswerMessage&) const { return ledgerBytes; }
    };

    constexpr std::uint64_t mixer = 0x9e3779b97f4a7c15ULL;

}

std::size_t encodedBytes(const Message& message)
{
    return std::visit(SizeOf {}, message);
}

std::uint64_t answerHashOf(const ModelRequest& request)
{
    return (request.id * mixer) ^ request.key;
}

}
