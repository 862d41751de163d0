#include "libmodel/experimentfile.h"

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace kingcuptrail;

namespace {

const std::string valid = R"({
  "name": "small", "durationMs": 1000,
  "deployment": { "dataCentres": ["north"], "balancers": 1,
                  "services": [{ "name": "board", "targets": 2, "slots": 2, "flowsPerTarget": 3 }] },
  "loads": [{ "service": "board", "utilisation": 0.5 }],
  "failures": [{ "atMs": 10, "kind": "drain", "target": 1 }],
  "policies": ["modulo", "full"]
})";

std::string withChange(const std::string& from, const std::string& to)
{
    std::string text = valid;
    return text.replace(text.find(from), from.size(), to);
}

struct FaultCase {
    std::string from;
    std::string to;
    FaultKind kind;
    std::string place;
};

}

class TestExperimentFile : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestExperimentFile);
    CPPUNIT_TEST(faultsAreNamedByKindAndPlace);
    CPPUNIT_TEST(shippedExperimentsAreValid);
    CPPUNIT_TEST_SUITE_END();

    void faultsAreNamedByKindAndPlace()
    {
        std::vector<Fault> faults;
        CPPUNIT_ASSERT(parseExperiment(valid, faults));
        const std::vector<FaultCase> cases {
            { "{", "", FaultKind::NotJson, "" },
            { "\"durationMs\": 1000,", "", FaultKind::MissingField, "/durationMs" },
            { "\"balancers\": 1", "\"balancers\": \"one\"", FaultKind::WrongType, "/deployment/balancers" },
            { "\"balancers\": 1", "\"balancers\": 0", FaultKind::OutOfRange, "/deployment/balancers" },
            { "\"slots\": 2", "\"slots\": 2, \"slot\": 3", FaultKind::UnknownField, "/deployment/services/0/slot" },
            { "\"service\": \"board\"", "\"service\": \"bord\"", FaultKind::UnknownService, "/loads/0/service" },
            { "\"target\": 1", "\"target\": 2", FaultKind::OutOfRange, "/failures/0/target" },
            { "\"drain\"", "\"drian\"", FaultKind::OutOfRange, "/failures/0/kind" },
            { "\"modulo\"", "\"module\"", FaultKind::OutOfRange, "/policies/0" },
        };
        for (const FaultCase& faultCase : cases) {
            faults.clear();
            CPPUNIT_ASSERT(!parseExperiment(withChange(faultCase.from, faultCase.to), faults));
            CPPUNIT_ASSERT_EQUAL(std::string(nameOf(faultCase.kind)), std::string(nameOf(faults.front().kind)));
            CPPUNIT_ASSERT_EQUAL(faultCase.place, faults.front().place);
        }
    }

    void shippedExperimentsAreValid()
    {
        std::size_t files = 0;
        for (const auto& entry : std::filesystem::directory_iterator(KINGCUPTRAIL_EXPERIMENTS)) {
            std::ifstream file(entry.path());
            const std::string text(std::istreambuf_iterator<char>(file), {});
            std::vector<Fault> faults;
            CPPUNIT_ASSERT_MESSAGE(entry.path().filename().string(), parseExperiment(text, faults));
            ++files;
        }
        CPPUNIT_ASSERT(files > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestExperimentFile);
