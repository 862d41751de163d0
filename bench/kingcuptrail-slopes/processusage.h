#pragma once

#include <cstdint>
#include <optional>

namespace kingcuptrail {

/// The resource usage of a process as counted by the kernel.
struct ProcessUsage {
    /// User and system CPU time since the start of the process, in milliseconds.
    double cpuMillis = 0;
    /// Resident memory, in bytes.
    std::uint64_t residentBytes = 0;
};

/// Reads the usage of a process from /proc; nothing if the process doesn't exist.
std::optional<ProcessUsage> readUsage(int pid);

}
