#pragma once

#include "libplatform/platformclient.h"

namespace kingcuptrail {

/// Logs when the platform begins to fail this process and when it answers again, not each failed call.
class TroubleLog {
public:
    void note(PlatformError lastReason);

    /// The trouble that lasts, or None.
    PlatformError current() const { return m_current; }

private:
    PlatformError m_current = PlatformError::None;
};

}
