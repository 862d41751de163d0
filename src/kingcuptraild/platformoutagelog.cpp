#include "platformoutagelog.h"

#include "libruntime/events.h"

namespace kingcuptrail {

void PlatformOutageLog::update(PlatformError lastReason)
{
    const bool wasFailing = m_current != PlatformError::None;
    const bool isFailing = lastReason != PlatformError::None;
    m_current = lastReason;
    if (isFailing && !wasFailing)
        logEvent(Event::PlatformTrouble, { { "reason", nameOf(lastReason) } });
    else if (!isFailing && wasFailing)
        logEvent(Event::PlatformBack);
}

}
