#include "libmodel/seededhistory.h"

#include <cppunit/extensions/HelperMacros.h>
#include <future>

using namespace kingcuptrail;

namespace {

constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t seeds = 10000;
constexpr std::uint64_t workers = 4;

std::string firstViolation(std::uint64_t worker)
{
    for (std::uint64_t seed = firstSeed + worker; seed < firstSeed + seeds; seed += workers) {
        const SeededHistory history = runSeededHistory(seed);
        if (!history.result.violations.empty())
            return "seed " + std::to_string(seed) + ": " + history.result.violations.front().text;
    }
    return {};
}

}

// The same as TestHistories with many more seeds, for combinations of faults that occur once in thousands of histories.
class TestLongHistories : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestLongHistories);
    CPPUNIT_TEST(everySeedViolatesNothing);
    CPPUNIT_TEST_SUITE_END();

    void everySeedViolatesNothing()
    {
        std::vector<std::future<std::string>> faults;
        for (std::uint64_t worker = 0; worker < workers; ++worker)
            faults.push_back(std::async(std::launch::async, firstViolation, worker));
        for (auto& fault : faults)
            CPPUNIT_ASSERT_EQUAL(std::string(), fault.get());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLongHistories);
