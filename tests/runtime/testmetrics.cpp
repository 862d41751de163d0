#include "libruntime/metrics.h"

#include "libdecision/refusal.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestMetrics : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestMetrics);
    CPPUNIT_TEST(percentilesAreWithinOneBucket);
    CPPUNIT_TEST(extremesAreCounted);
    CPPUNIT_TEST(expositionHasEachReason);
    CPPUNIT_TEST_SUITE_END();

    void percentilesAreWithinOneBucket()
    {
        LatencyHistogram histogram;
        CPPUNIT_ASSERT_EQUAL(0.0, histogram.percentile(0.99));
        for (int sample = 1; sample <= 1000; ++sample)
            histogram.record(sample);
        for (const double quantile : { 0.5, 0.9, 0.99, 1.0 }) {
            CPPUNIT_ASSERT(histogram.percentile(quantile) >= quantile * 1000);
            CPPUNIT_ASSERT(histogram.percentile(quantile) <= quantile * 1000 * 1.12);
        }
    }

    void extremesAreCounted()
    {
        LatencyHistogram histogram;
        histogram.record(0);
        histogram.record(5e6);
        histogram.record(-1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, histogram.count());
        CPPUNIT_ASSERT(histogram.percentile(0.5) <= 0.06);
        CPPUNIT_ASSERT_EQUAL(5e6, histogram.percentile(1));
        std::string text;
        histogram.expose(text, "wait_ms", "Waiting time.");
        CPPUNIT_ASSERT(text.find("wait_ms_bucket{le=\"600000\"} 1\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("wait_ms_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("wait_ms_count 2\n") != std::string::npos);
    }

    void expositionHasEachReason()
    {
        EnumCounters<Ran> counters;
        counters.increment(Ran::Unknown, 3);
        counters.increment(static_cast<Ran>(200));
        std::string text;
        exposeCounters(text, "refused_total", "Refusals.", counters);
        CPPUNIT_ASSERT_EQUAL(std::string("# HELP refused_total Refusals.\n# TYPE refused_total counter\n"
                                         "refused_total{reason=\"notRun\"} 0\nrefused_total{reason=\"ran\"} 0\n"
                                         "refused_total{reason=\"unknown\"} 3\n"),
            text);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestMetrics);
