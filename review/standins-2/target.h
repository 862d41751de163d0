#pragma once

#include "libhttp/httpclient.h"
#include "libhttp/httpserver.h"
#include "libplatform/delay.h"
#include "libruntime/datagramsocket.h"
#include "packets.h"
#include "record.h"

#include <deque>
#include <functional>
#include <map>
#include <random>

namespace review {

struct TargetOptions {
    std::string host;
    std::string service;
    std::string zone;
    asio::ip::address_v4 address;
    std::uint16_t appPort = 0;
    std::uint16_t outboundPort = 0;
    std::uint16_t controlPort = 0;
    std::uint32_t slots = 5;
    Millis work = 20;
    Millis heartbeat = 500;
    /// How soon a report that was not confirmed is followed by the next one; 0 for the usual interval.
    Millis reportRetry = 100;
};

/// What the boots of a target have seen, for the checks.
struct TargetEvents {
    /// A target took the first opening packet of a flow.
    std::function<void(const std::string& host, const Flow& flow)> onOpening;
    std::function<void(const std::string& host, const std::string& request)> onRun;
    /// A target reset a flow itself.
    std::function<void(const std::string& host, const Flow& flow)> onReset;
};

/// A target beside an agent: one boot after the other at one address. Each boot reports to `control` on its machine, takes
/// flows at `app` and answers the requests inside them.
class Target {
public:
    Target(asio::io_context& context, TargetOptions options, TargetEvents events, Record& record, std::uint32_t seed);

    /// Starts a new boot with a new id. The previous one must have ended.
    bool boot();
    /// The boot ends without a word; its flows are gone.
    void crash();
    /// The next boot is that of another machine at this address, of this service.
    void changeMachine(const std::string& host, const std::string& service)
    {
        m_options.host = host;
        m_options.service = service;
    }

    const TargetOptions& options() const { return m_options; }
    bool isRunning() const { return m_socket != nullptr; }
    /// Whether this flow is open at the running boot: it has the end of the handshake.
    bool holds(const Flow& flow) const;
    std::size_t reportsConfirmed() const { return m_confirmed; }
    /// The body of the next report of the running boot, and its path. A report that is written and does not arrive.
    kingcuptrail::HttpRequest writeReport();

private:
    struct HeldFlow {
        std::uint32_t sequence = 0;
        /// The next byte expected from the requester.
        std::uint32_t expected = 0;
        std::uint32_t acknowledged = 0;
        bool isOpen = false;
        bool hasEnded = false;
        /// The last answer, kept until it is acknowledged.
        std::string answer;
        std::uint32_t answerSequence = 0;
        int answerCopies = 0;
        std::unique_ptr<kingcuptrail::Delay> timer;
    };
    struct Work {
        Flow flow;
        std::string request;
    };

    void handle(std::span<std::uint8_t> bytes);
    void handleOpening(const Flow& flow, const Packet& packet);
    void handleData(const Flow& flow, HeldFlow& held, const Packet& packet);
    void startWork();
    void answer(const Work& work);
    void sendAnswer(const Flow& flow);
    void send(const Flow& flow, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledged, const std::string& data = {});
    void report();

    asio::io_context& m_context;
    TargetOptions m_options;
    TargetEvents m_events;
    Record& m_record;
    std::minstd_rand m_random;
    std::unique_ptr<kingcuptrail::DatagramSocket> m_socket;
    std::unique_ptr<kingcuptrail::HttpServer> m_health;
    std::map<Flow, HeldFlow> m_flows;
    std::deque<Work> m_queue;
    std::vector<std::unique_ptr<kingcuptrail::Delay>> m_workers;
    std::uint32_t m_atWork = 0;
    kingcuptrail::Delay m_reportTimer;
    std::shared_ptr<kingcuptrail::HttpCall> m_call;
    std::string m_id;
    std::uint64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    std::size_t m_confirmed = 0;
};

}
