#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>

int main()
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    controller.addListener(&collector);
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller);
    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const bool ranNothing = collector.runTests() == 0;
    return collector.wasSuccessful() && !ranNothing ? 0 : 1;
}
