#include "inforce.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace kingcuptrail {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

    /// Time limit for the answer of one daemon, in milliseconds; a stopped daemon must not delay the others for long.
    constexpr Millis queryTimeout = 2000;

    /// Pauses between polls, in milliseconds. Polling thousands of daemons without pauses would load every host. The
    /// first pauses are short, since most changes are in force within a second; then they double. Only daemons without
    /// the version are polled again.
    constexpr Millis firstPause = 50;
    constexpr Millis maxPause = 1000;

    Millis since(steady_clock::time_point start)
    {
        return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start).count();
    }

    bool isInForce(const DaemonAnswer& answer, ConfigVersion version)
    {
        return answer.status && answer.status->configVersion >= version;
    }

    std::vector<DaemonEntry> entriesOf(const std::vector<DaemonAnswer>& answers)
    {
        std::vector<DaemonEntry> entries;
        entries.reserve(answers.size());
        for (const DaemonAnswer& answer : answers)
            entries.push_back(answer.entry);
        return entries;
    }

}

InForce waitInForce(ConfigVersion version, const CtlOptions& options)
{
    const auto start = steady_clock::now();
    PlatformError reason = PlatformError::None;
    const auto daemons = findDaemons(options, reason);
    if (!daemons)
        return { .isKnown = false };
    InForce result { .daemons = daemons->size() };
    std::vector<DaemonEntry> toQuery = *daemons;
    Millis pause = firstPause;
    while (true) {
        const Millis left = std::max<Millis>(options.timeout - since(start), 1);
        result.lagging = queryDaemons(toQuery, std::min(queryTimeout, left));
        std::erase_if(result.lagging, [version](const DaemonAnswer& answer) { return isInForce(answer, version); });
        result.took = since(start);
        if (result.lagging.empty() || result.took >= options.timeout)
            return result;
        toQuery = entriesOf(result.lagging);
        std::this_thread::sleep_for(milliseconds(std::min(pause, options.timeout - result.took)));
        pause = std::min(2 * pause, maxPause);
    }
}

std::string describeLag(const DaemonAnswer& answer)
{
    if (!answer.status)
        return std::string(nameOf(answer.error));
    return "at version " + std::to_string(answer.status->configVersion);
}

}
