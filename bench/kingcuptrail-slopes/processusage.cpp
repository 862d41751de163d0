#include "processusage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace kingcuptrail {

namespace {

    constexpr int fieldsBeforeTimes = 11;
    constexpr double millisPerSecond = 1000;

}

std::optional<ProcessUsage> readUsage(int pid)
{
    const std::string folder = "/proc/" + std::to_string(pid);
    std::ifstream statFile(folder + "/stat");
    std::ifstream memoryFile(folder + "/statm");
    std::string line;
    if (!std::getline(statFile, line))
        return std::nullopt;
    // The second field is the program's name in brackets, which may contain spaces.
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int field = 0; field < fieldsBeforeTimes; ++field)
        fields >> skipped;
    std::uint64_t userTicks = 0;
    std::uint64_t systemTicks = 0;
    fields >> userTicks >> systemTicks;
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    memoryFile >> totalPages >> residentPages;
    return ProcessUsage {
        .cpuMillis = static_cast<double>(userTicks + systemTicks) * millisPerSecond / static_cast<double>(sysconf(_SC_CLK_TCK)),
        .residentBytes = residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)),
    };
}

}
