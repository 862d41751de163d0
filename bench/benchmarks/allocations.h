#pragma once

#include <cstddef>
#include <cstdint>

namespace kingcuptrail {

/// Calls of operator new so far in this process.
std::uint64_t allocationCount();

/// Bytes held by operator new now, as the allocator rounds them.
std::size_t allocatedBytes();

}
