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

/// What the soak found broken, each counted once with its first case.
enum class Promise : std::uint8_t {
    /// A caller's open flow was reset although the upstream that holds it lives.
    FlowKept,
    /// An opening reached an upstream of a service that its address never led to.
    RightService,
    /// An opening reached an upstream too long after it was confirmed to be draining.
    DrainHeld,
    /// An opening reached an upstream of a data centre that had been out for too long.
    OutageHeld,
    /// An end got a packet that its sender did not write so.
    Untouched,
    /// A caller got another request's answer.
    OwnAnswer,
    /// A process ended by itself.
    StaysUp,
    /// After everything was calm again, callers were not served.
    Recovers,
};

template <>
struct EnumNames<Promise> {
    static constexpr std::array<std::string_view, 8> names { "flowKept", "rightService", "drainHeld", "outageHeld", "untouched", "ownAnswer", "staysUp", "recovers" };
};

/// Checks the promises while the soak runs, from what callers and upstreams see. A host counts only while it was calm: no
/// fault touched it, or the store, for `contact`.
class Promises {
public:
    explicit Promises(const Clock& clock)
        : m_clock(clock)
    {
    }

    void noteDisturbed(const std::string& host) { m_disturbedAt[host] = m_clock.now(); }
    void noteStoreDisturbed() { m_storeDisturbedAt = m_clock.now(); }
    void noteOut(const std::string& dataCentre) { m_outSince[dataCentre] = m_clock.now(); }
    void noteBack(const std::string& dataCentre) { m_outSince.erase(dataCentre); }
    void noteDraining(const std::string& upstream) { m_drainingSince[upstream] = m_clock.now(); }
    void noteRestarted(const std::string& upstream) { m_drainingSince.erase(upstream); }
    void allow(const PacketEndpoint& address, const std::string& service) { m_allowed[toServiceAddress(address)].insert(service); }

    /// An upstream took an opening.
    void noteOpening(const std::string& upstream, const std::string& service, const std::string& dataCentre, const PacketEndpoint& address);
    /// An upstream sent an answer with this sequence to a flow; its holder when the caller acknowledges it.
    void noteAnswer(const std::string& flow, std::uint32_t sequence, const std::string& upstream, std::uint32_t process) { m_answers[flow][sequence] = { upstream, process }; }
    void noteProcess(const std::string& upstream, std::uint32_t process) { m_processes[upstream] = process; }
    /// A caller's open flow, opened by the answer with this sequence, was reset by the system.
    void noteReset(const std::string& flow, std::uint32_t sequence);

    void breakPromise(Promise promise, const std::string& what);
    bool isBroken() const { return !m_broken.empty(); }
    const std::map<Promise, std::vector<std::string>>& broken() const { return m_broken; }

private:
    struct Answerer {
        std::string upstream;
        std::uint32_t process = 0;
    };

    bool isCalm(const std::string& host) const;

    const Clock& m_clock;
    std::map<std::string, Millis> m_disturbedAt;
    std::map<std::string, Millis> m_outSince;
    std::map<std::string, Millis> m_drainingSince;
    std::map<ServiceAddress, std::set<std::string>> m_allowed;
    std::map<std::string, std::map<std::uint32_t, Answerer>> m_answers;
    std::map<std::string, std::uint32_t> m_processes;
    std::map<Promise, std::vector<std::string>> m_broken;
    Millis m_storeDisturbedAt = -100000;
};

}
