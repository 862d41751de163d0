#pragma once

#include <cstddef>
#include <cstdint>

namespace kingcuptrail {

/// Number of calls of operator new in this process so far.
std::uint64_t allocationCount();

/// Bytes currently allocated through operator new, including the allocator's rounding.
std::size_t allocatedBytes();

}
