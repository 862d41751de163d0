#pragma once

#include "libdecision/enumnames.h"
#include "libdecision/ids.h"
#include "libdecision/packet.h"
#include "libruntime/clock.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace kingcuptrail {

/// The promises that the soak checks.
enum class Promise : std::uint8_t {
    /// Broken when a caller's open flow is reset although the upstream process that holds it is running.
    FlowKept,
    /// Broken when an opening or a request reaches an upstream of a service that no configuration mapped to its address.
    RightService,
    /// Broken when an opening reaches an upstream too long after its agent confirmed that it is draining.
    DrainHeld,
    /// Broken when an opening reaches an upstream too long after its data centre was taken out of service.
    OutageHeld,
    /// Broken when an end of a flow receives a packet whose checksum does not match its content.
    Untouched,
    /// Broken when a caller gets the answer to another caller's request.
    OwnAnswer,
    /// Broken when a daemon exits without being told to.
    StaysUp,
    /// Broken when callers are not served after all faults have ended.
    Recovers,
};

template <>
struct EnumNames<Promise> {
    static constexpr std::array<std::string_view, 8> names { "flowKept", "rightService", "drainHeld", "outageHeld", "untouched", "ownAnswer", "staysUp", "recovers" };
};

/// Checks the promises while the soak runs, from what callers and upstreams observe. Violations that concern a host count only
/// when no fault has touched that host for `undisturbedTime`.
class PromiseChecker {
public:
    explicit PromiseChecker(const Clock& clock)
        : m_clock(clock)
    {
    }

    void recordDisturbance(const std::string& host) { m_disturbedAt[host] = m_clock.now(); }
    void recordStoreDisturbance() { m_storeDisturbedAt = m_clock.now(); }
    void recordTakenOut(const std::string& dataCentre) { m_outSince[dataCentre] = m_clock.now(); }
    void recordBroughtBack(const std::string& dataCentre) { m_outSince.erase(dataCentre); }
    void recordDraining(const std::string& upstream) { m_drainingSince[upstream] = m_clock.now(); }
    void recordRestart(const std::string& upstream) { m_drainingSince.erase(upstream); }
    void allowService(const PacketEndpoint& address, const std::string& service) { m_allowedServices[toServiceAddress(address)].insert(service); }

    /// Records that an upstream accepted an opening, and checks whether it may have reached this upstream.
    void recordOpening(const std::string& upstream, const std::string& service, const std::string& dataCentre, const FlowKey& flow);
    /// Checks whether a request may run at this upstream.
    void recordRequest(const std::string& upstream, const std::string& service, const FlowKey& flow, const std::string& request);
    /// Records that an upstream answered the flow with this sequence number; it holds the flow if the caller acknowledges it.
    void recordAnswer(const std::string& flow, std::uint32_t sequence, const std::string& upstream, std::uint32_t process) { m_answers[flow][sequence] = { upstream, process }; }
    void recordProcess(const std::string& upstream, std::uint32_t process) { m_processes[upstream] = process; }
    /// Checks the reset of a caller's open flow that was opened by the answer with this sequence number.
    void checkReset(const std::string& flow, std::uint32_t sequence);

    void recordViolation(Promise promise, const std::string& what);
    bool hasViolations() const { return !m_violations.empty(); }
    const std::map<Promise, std::vector<std::string>>& violations() const { return m_violations; }

private:
    struct Answerer {
        std::string upstream;
        std::uint32_t process = 0;
    };

    bool isUndisturbed(const std::string& host) const;
    bool isAllowed(const PacketEndpoint& address, const std::string& service) const;

    const Clock& m_clock;
    std::map<std::string, Millis> m_disturbedAt;
    std::map<std::string, Millis> m_outSince;
    std::map<std::string, Millis> m_drainingSince;
    std::map<ServiceAddress, std::set<std::string>> m_allowedServices;
    std::map<std::string, std::map<std::uint32_t, Answerer>> m_answers;
    std::map<std::string, std::uint32_t> m_processes;
    std::map<Promise, std::vector<std::string>> m_violations;
    Millis m_storeDisturbedAt = -100000;
};

}
