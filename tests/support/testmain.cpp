#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>
#include <stdexcept>

// Runs all tests, or the one named by the first argument, such as TestPacketAgent::answersProbeOfKnownFlow.
int main(int argc, char** argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    controller.addListener(&collector);
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    try {
        runner.run(controller, argc > 1 ? argv[1] : "");
    } catch (const std::invalid_argument& error) {
        std::cerr << "no such test: " << argv[1] << ": " << error.what() << "\n";
        return 1;
    }
    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const bool ranNothing = collector.runTests() == 0;
    return collector.wasSuccessful() && !ranNothing ? 0 : 1;
}
