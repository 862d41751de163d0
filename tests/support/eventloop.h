#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cppunit/TestAssert.h>
#include <functional>

namespace kingcuptrail {

/// Runs the context until the condition holds; fails the test when it does not within a generous limit. Tests wait for
/// events with it and never for a bare time.
inline void runUntil(asio::io_context& context, const std::function<bool()>& condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE("the awaited event did not come", std::chrono::steady_clock::now() < limit);
        context.restart();
        context.run_one_for(std::chrono::milliseconds(100));
    }
}

}
