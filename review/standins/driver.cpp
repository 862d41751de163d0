#include "driver.h"

#include <csignal>
#include <iostream>

namespace review {

int runCase(const std::function<int(World& world, bool hasTrouble)>& play)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string program = environment("REVIEW_DAEMON");
    const std::string folder = environment("REVIEW_FOLDER");
    const std::string record = environment("REVIEW_RECORD");
    if (program.empty() || folder.empty() || record.empty()) {
        std::cerr << "to be started by run.sh\n";
        return notRun;
    }
    try {
        World world({ .program = program, .folder = folder, .recordPath = record });
        const bool hasTrouble = environment("TROUBLE") != "0";
        world.note(hasTrouble ? "with the disruption" : "without the disruption");
        const int result = play(world, hasTrouble);
        world.note(std::to_string(world.endedDaemons().size()) + " daemons ended by themselves");
        const std::string text = result == ruleBroken ? "the rule was broken" : (result == ruleHeld ? "the rule held" : "the case could not run");
        world.note(text);
        std::cout << text << "\n";
        return result;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return notRun;
    }
}

}
