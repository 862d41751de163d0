#include "troublelog.h"

#include "libruntime/events.h"

namespace kingcuptrail {

void TroubleLog::note(PlatformError lastReason)
{
    const bool wasTrouble = m_current != PlatformError::None;
    const bool isTrouble = lastReason != PlatformError::None;
    m_current = lastReason;
    if (isTrouble && !wasTrouble)
        logEvent(Event::PlatformTrouble, { { "reason", nameOf(lastReason) } });
    else if (!isTrouble && wasTrouble)
        logEvent(Event::PlatformBack);
}

}
