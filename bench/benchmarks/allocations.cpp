#include "allocations.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::uint64_t> count { 0 };
std::atomic<std::size_t> bytes { 0 };

void* allocate(std::size_t size)
{
    void* memory = std::malloc(size);
    if (!memory)
        throw std::bad_alloc();
    count.fetch_add(1, std::memory_order_relaxed);
    bytes.fetch_add(malloc_usable_size(memory), std::memory_order_relaxed);
    return memory;
}

void release(void* memory)
{
    bytes.fetch_sub(malloc_usable_size(memory), std::memory_order_relaxed);
    std::free(memory);
}

}

void* operator new(std::size_t size)
{
    return allocate(size);
}

void operator delete(void* memory) noexcept
{
    release(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    release(memory);
}

namespace kingcuptrail {

std::uint64_t allocationCount()
{
    return count.load(std::memory_order_relaxed);
}

std::size_t allocatedBytes()
{
    return bytes.load(std::memory_order_relaxed);
}

}
