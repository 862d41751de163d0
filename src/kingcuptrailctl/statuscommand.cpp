#include "blocking.h"
#include "commands.h"
#include "daemons.h"
#include "inforce.h"
#include "libplatform/configapply.h"
#include "libplatform/leaserecord.h"
#include "libplatform/presence.h"
#include "table.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    constexpr Millis queryTimeout = 2000;

    /// The configuration and presences stored in the platform.
    struct PlatformView {
        std::optional<Config> config;
        PlatformError configError = PlatformError::NoAnswer;
        std::vector<Presence> presences;
        PlatformError presenceError = PlatformError::NoAnswer;
    };

    std::vector<Presence> presencesOf(const ObjectList& list)
    {
        std::vector<Presence> presences;
        for (const PlatformObject& object : list.objects) {
            if (auto presence = parsePresence(object.value.value_or("")))
                presences.push_back(std::move(*presence));
        }
        return presences;
    }

    PlatformView readPlatform(const CtlOptions& options)
    {
        asio::io_context context;
        PlatformView view;
        const ConfigFetch fetch(context, platformOptions(options), [&view](std::optional<Config> config, PlatformError error) {
            view.config = std::move(config);
            view.configError = error;
        });
        PlatformClient client(context, platformOptions(options));
        client.list(presenceKind, [&view](const std::optional<ObjectList>& list, PlatformError error) {
            view.presenceError = error;
            if (list)
                view.presences = presencesOf(*list);
        });
        context.run();
        return view;
    }

    /// A section of the report, as text and as JSON.
    struct Section {
        std::string text;
        json members;
    };

    Section describeConfig(const Config& config)
    {
        Table dataCentres({ "DATA CENTRE", "STATE" });
        for (const DataCentreConfig& dataCentre : config.dataCentres)
            dataCentres.add({ dataCentre.name, dataCentre.out ? "out" : "in" });
        Table services({ "SERVICE", "ADDRESS", "DATA CENTRES", "SLOTS", "QUEUE", "FLOWS" });
        for (const ServiceConfig& service : config.services) {
            std::string names;
            for (const std::string& name : service.dataCentres)
                names.append(names.empty() ? "" : ",").append(name);
            services.add({ service.name, toString(service.address), names, std::to_string(service.slots), std::to_string(service.queueLimit), std::to_string(service.flowLimit) });
        }
        return { .text = "configuration: version " + std::to_string(config.version) + "\n\n" + dataCentres.text() + "\n" + services.text(), .members = json::parse(toJson(config)) };
    }

    Section describeDaemons(const std::vector<DaemonAnswer>& answers, ConfigVersion version)
    {
        Table table({ "DAEMON", "ROLE", "DATA CENTRE", "VERSION", "STATE", "RESTARTS" });
        json list = json::array();
        for (const DaemonAnswer& answer : answers) {
            if (!answer.status) {
                table.add({ answer.name(), answer.entry.role, answer.entry.dataCentre, "-", std::string(nameOf(answer.error)), "-" });
                list.push_back({ { "name", answer.name() }, { "answers", false }, { "error", nameOf(answer.error) } });
                continue;
            }
            const DaemonStatus& status = *answer.status;
            std::uint64_t restarts = 0;
            for (const DaemonChild& child : status.children)
                restarts += child.restarts;
            const std::string running = status.configVersion < version ? "behind" : "in force";
            table.add({ answer.name(), status.role, status.dataCentre, std::to_string(status.configVersion), status.isStopping ? "stopping" : running, std::to_string(restarts) });
            list.push_back({ { "name", answer.name() }, { "answers", true }, { "inForce", status.configVersion >= version }, { "status", json::parse(status.json) } });
        }
        return { .text = table.text(), .members = std::move(list) };
    }

    Section describeUpstreams(const std::vector<Presence>& presences)
    {
        Table table({ "UPSTREAM", "SERVICE", "DATA CENTRE", "STATE", "INCARNATION", "AGENT" });
        json list = json::array();
        for (const Presence& presence : presences) {
            table.add({ presence.upstream, presence.service, presence.dataCentre, std::string(nameOf(presence.state)), std::to_string(presence.token.incarnation), presence.address });
            list.push_back(json::parse(toJson(presence)));
        }
        return { .text = table.text(), .members = std::move(list) };
    }

    bool areAllInForce(const std::vector<DaemonAnswer>& answers, ConfigVersion version)
    {
        return std::all_of(answers.begin(), answers.end(), [version](const DaemonAnswer& answer) { return answer.status && answer.status->configVersion >= version; });
    }

}

// Daemons given on the command line are queried even when the platform is down, since operators need their status most
// then.
CommandResult showStatus(const std::string&, const CtlOptions& options)
{
    const PlatformView view = readPlatform(options);
    PlatformError daemonsError = PlatformError::None;
    const auto entries = findDaemons(options, daemonsError);
    const ConfigVersion version = view.config ? view.config->version : 0;
    const auto answers = queryDaemons(entries.value_or(std::vector<DaemonEntry> {}), queryTimeout);
    const Section daemons = describeDaemons(answers, version);
    const Section upstreams = describeUpstreams(view.presences);
    json members {
        { "platform", nameOf(view.configError) },
        { "configVersion", version },
        { "daemons", daemons.members },
        { "upstreams", upstreams.members },
    };
    std::string text;
    if (view.config) {
        const Section config = describeConfig(*view.config);
        members["config"] = config.members;
        text += config.text + "\n";
    }
    text += daemons.text + "\n" + upstreams.text;
    if (!view.config)
        return makeResult(exitCodeOf(view.configError), std::move(text), std::move(members));
    if (!entries || view.presenceError != PlatformError::None)
        return makeResult(ExitCode::PlatformUnreachable, std::move(text), std::move(members));
    const bool allInForce = areAllInForce(answers, version);
    return makeResult(allInForce ? ExitCode::Success : ExitCode::DaemonsLag, std::move(text), std::move(members));
}

}
