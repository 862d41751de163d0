#include "platformoutagelog.h"

#include "libruntime/events.h"

namespace kingcuptrail {

void PlatformOutageLog::update(PlatformError lastError)
{
    const bool wasFailing = m_current != PlatformError::None;
    const bool isFailing = lastError != PlatformError::None;
    m_current = lastError;
    if (isFailing && !wasFailing)
        logEvent(Event::PlatformTrouble, { { "reason", nameOf(lastError) } });
    else if (!isFailing && wasFailing)
        logEvent(Event::PlatformBack);
}

}
