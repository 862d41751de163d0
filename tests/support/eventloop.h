#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cppunit/TestAssert.h>
#include <functional>

namespace kingcuptrail {

/// Runs the context until the condition holds; fails the test when it does not hold within 20 s. Tests use it to wait for
/// events instead of fixed times.
inline void runUntil(asio::io_context& context, const std::function<bool()>& condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE("timed out waiting for the condition", std::chrono::steady_clock::now() < limit);
        context.restart();
        context.run_one_for(std::chrono::milliseconds(100));
    }
}

}
