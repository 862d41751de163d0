#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace kingcuptrail {

/// Where the programs under test and the scenario's own files are.
struct ScenarioOptions {
    /// Full paths by name, as "kingcuptraild" or "standin_caller".
    std::map<std::string, std::string> programs;
    /// Histories, settings and logs are written here.
    std::string folder;
};

/// What a scenario drives: processes, relays, configurations and the history that tells of them.
class Scenario {
public:
    explicit Scenario(ScenarioOptions options);
    ~Scenario();
    Scenario(const Scenario&) = delete;
    Scenario& operator=(const Scenario&) = delete;

    /// Does what a script asked. A result {"error": text} fails the script.
    nlohmann::json perform(const std::string& verb, const nlohmann::json& arguments);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

}
