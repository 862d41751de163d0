#pragma once

#include <cstdint>
#include <optional>

namespace kingcuptrail {

/// What the kernel counts for a process.
struct ProcessUsage {
    /// Processor time since its start, user and system, in milliseconds.
    double cpuMillis = 0;
    /// Resident memory, in bytes.
    std::uint64_t residentBytes = 0;
};

/// Reads /proc for a process; nothing when it is gone.
std::optional<ProcessUsage> readUsage(int pid);

}
