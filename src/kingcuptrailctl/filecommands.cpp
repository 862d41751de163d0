#include "filecommands.h"

#include "blocking.h"
#include "commands.h"
#include "libplatform/configapply.h"
#include "table.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    CommandResult faultsResult(const std::string& path, const std::vector<Fault>& faults)
    {
        Table table({ "FAULT", "PLACE", "DETAIL" });
        json list = json::array();
        for (const Fault& fault : faults) {
            table.add({ std::string(nameOf(fault.kind)), fault.place.empty() ? "/" : fault.place, fault.detail });
            list.push_back({ { "kind", nameOf(fault.kind) }, { "place", fault.place }, { "detail", fault.detail } });
        }
        return makeResult(ExitCode::FileFaults, path + ":\n" + table.text(), { { "file", path }, { "faults", list } });
    }

    struct Fetched {
        std::optional<Config> config;
        PlatformError error = PlatformError::NoAnswer;
    };

    Fetched fetchConfig(const CtlOptions& options)
    {
        asio::io_context context;
        std::optional<ConfigFetch> fetch;
        return awaitResult<Fetched>(context, [&](const std::function<void(Fetched)>& done) {
            fetch.emplace(context, platformOptions(options), [done](std::optional<Config> config, PlatformError error) { done({ .config = std::move(config), .error = error }); });
        });
    }

}

std::optional<Config> readConfigFile(const std::string& path, CommandResult& failure)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        failure = makeResult(ExitCode::FileUnreadable, path + ": cannot be read\n", { { "file", path } });
        return std::nullopt;
    }
    std::vector<Fault> faults;
    auto config = parseConfig(text.str(), faults);
    if (!config)
        failure = faultsResult(path, faults);
    return config;
}

CommandResult checkFile(const std::string& path, const CtlOptions&)
{
    CommandResult failure;
    const auto config = readConfigFile(path, failure);
    if (!config)
        return failure;
    const std::string counts = std::to_string(config->services.size()) + " services, " + std::to_string(config->dataCentres.size()) + " data centres";
    return makeResult(ExitCode::Success, path + ": no errors; " + counts + "\n",
        { { "file", path }, { "faults", json::array() }, { "services", config->services.size() }, { "dataCentres", config->dataCentres.size() } });
}

CommandResult diffFile(const std::string& path, const CtlOptions& options)
{
    CommandResult failure;
    const auto wanted = readConfigFile(path, failure);
    if (!wanted)
        return failure;
    const Fetched present = fetchConfig(options);
    // Before the first apply the platform holds no configuration, and everything in the file counts as added.
    if (!present.config && present.error != PlatformError::NotFound)
        return makeResult(exitCodeOf(present.error), {}, { { "platformError", nameOf(present.error) } });
    const Config from = present.config.value_or(Config {});
    Table table({ "CHANGE", "NAME", "DETAIL" });
    json list = json::array();
    for (const ConfigChange& change : diffConfigs(from, withInheritedStates(*wanted, from.dataCentres))) {
        table.add({ std::string(nameOf(change.kind)), change.name, change.detail });
        list.push_back({ { "kind", nameOf(change.kind) }, { "name", change.name }, { "detail", change.detail } });
    }
    const std::string against = "compared with version " + std::to_string(from.version);
    const std::string text = table.isEmpty() ? "no changes " + against + "\n" : against + ":\n" + table.text();
    return makeResult(ExitCode::Success, text, { { "version", from.version }, { "changes", list } });
}

}
