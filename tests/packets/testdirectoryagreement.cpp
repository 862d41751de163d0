#include "libdecision/directoryagreement.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace kingcuptrail;

class TestDirectoryAgreement : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestDirectoryAgreement);
    CPPUNIT_TEST(differentDigestEndsAgreement);
    CPPUNIT_TEST(agreementComesBackWithTheSameDirectory);
    CPPUNIT_TEST(oldDigestDoesNotCount);
    CPPUNIT_TEST(pauseEndsAgreement);
    CPPUNIT_TEST_SUITE_END();

    // A new agent's announcement reaches most processes within 20 ms but misses one balancer. A flow that another balancer
    // opened there has its next packet arrive at this one, and all agents that it knows deny the flow. Guards against a
    // reset a quarter of a second after the flow opened: a peer that lacked the announcement too had sent an equal digest a
    // second before, and the different digests that arrived since must cancel it.
    void differentDigestEndsAgreement()
    {
        DirectoryAgreement agreement;
        recordPeerDigest(agreement, true, 1000);
        CPPUNIT_ASSERT(isAgreed(agreement, 1500));
        recordPeerDigest(agreement, false, 1560);
        CPPUNIT_ASSERT(!isAgreed(agreement, 1561));
        CPPUNIT_ASSERT(!isAgreed(agreement, 1900));
    }

    void agreementComesBackWithTheSameDirectory()
    {
        DirectoryAgreement agreement;
        CPPUNIT_ASSERT(!isAgreed(agreement, 0));
        recordPeerDigest(agreement, false, 1000);
        recordPeerDigest(agreement, true, 1100);
        CPPUNIT_ASSERT(isAgreed(agreement, 1101));
    }

    void oldDigestDoesNotCount()
    {
        DirectoryAgreement agreement;
        recordPeerDigest(agreement, true, 1000);
        CPPUNIT_ASSERT(!isAgreed(agreement, 1000 + agreement.options.digestValidity));
    }

    // A balancer's host is suspended and resumes. Digests from before say nothing about agents that started meanwhile.
    void pauseEndsAgreement()
    {
        DirectoryAgreement agreement;
        recordPeerDigest(agreement, true, 1000);
        resetAgreement(agreement);
        CPPUNIT_ASSERT(!isAgreed(agreement, 1001));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDirectoryAgreement);
