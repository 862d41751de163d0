#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace kingcuptrail {

/// Locations of the programs under test and of the scenario's files.
struct ScenarioOptions {
    /// Full paths by program name, such as "kingcuptraild" or "standin_caller".
    std::map<std::string, std::string> programs;
    /// Folder for histories, settings and logs.
    std::string folder;
};

/// Carries out the actions of a scenario script: runs processes and relays, changes configurations and records the history.
class Scenario {
public:
    explicit Scenario(ScenarioOptions options);
    ~Scenario();
    Scenario(const Scenario&) = delete;
    Scenario& operator=(const Scenario&) = delete;

    /// Runs the action `verb` of a script. A result {"error": text} fails the script.
    nlohmann::json perform(const std::string& verb, const nlohmann::json& arguments);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
