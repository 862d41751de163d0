#pragma once

#include "libplatform/platformclient.h"

namespace kingcuptrail {

/// Logs the beginning and the end of a platform outage, instead of each failed call.
class PlatformOutageLog {
public:
    /// Records the error of the last platform call, or None.
    void update(PlatformError lastError);

    /// The error of the current outage, or None.
    PlatformError current() const { return m_current; }

private:
    PlatformError m_current = PlatformError::None;
};

}
