#include "scenario.h"

#include "childprocess.h"
#include "libhistory/checker.h"
#include "libhttp/httpclient.h"
#include "libplatform/config.h"
#include "libplatform/configapply.h"
#include "libruntime/clock.h"
#include "relay.h"
#include "reservedport.h"

#include <csignal>
#include <filesystem>
#include <fstream>

namespace kingcuptrail {

namespace {

    using nlohmann::json;

    constexpr std::string_view configEventMarker = " E300 configInForce ";

    struct Process {
        std::unique_ptr<ChildProcess> child;
        /// Name, role, upstream and data centre for the history events of this process.
        HistoryEvent eventTemplate;
        std::vector<std::string> lines;
    };

    struct Change {
        std::unique_ptr<ConfigApply> apply;
        std::optional<ApplyReport> report;
    };

    struct SignalKind {
        int number;
        HistoryKind kind;
    };

    const std::map<std::string, SignalKind> signals {
        { "KILL", { SIGKILL, HistoryKind::ProcessKilled } },
        { "STOP", { SIGSTOP, HistoryKind::ProcessFrozen } },
        { "CONT", { SIGCONT, HistoryKind::ProcessContinued } },
        { "TERM", { SIGTERM, HistoryKind::ShutdownBegan } },
    };

    json failure(const std::string& text)
    {
        return { { "error", text } };
    }

    asio::ip::tcp::endpoint loopbackEndpoint(const json& port)
    {
        return { asio::ip::address_v4::loopback(), port.get<std::uint16_t>() };
    }

    /// The number after "version=" in a log line.
    ConfigVersion parseVersion(const std::string& line)
    {
        const auto place = line.find("version=");
        return place == std::string::npos ? 0 : std::stoull(line.substr(place + std::string_view("version=").size()));
    }

}

struct Scenario::Private {
    explicit Private(ScenarioOptions scenarioOptions)
        : options(std::move(scenarioOptions))
        , history(HistoryWriter::open(options.folder + "/scenario.history", "scenario"))
    {
    }

    json now(const json&) { return clock.now(); }

    json pump(const json& arguments)
    {
        context.restart();
        context.run_for(std::chrono::milliseconds(arguments.at("ms").get<int>()));
        return {};
    }

    json port(const json&)
    {
        ports.push_back(std::make_unique<ReservedPort>());
        return ports.back()->number();
    }

    json write(const json& arguments)
    {
        const std::string file = options.folder + "/" + arguments.at("name").get<std::string>();
        std::ofstream(file) << arguments.at("content").dump(4);
        return file;
    }

    json spawn(const json& arguments)
    {
        const std::string name = arguments.at("name");
        Process& process = processes[name];
        process.eventTemplate = { .kind = HistoryKind::ProcessStarted, .process = name };
        process.eventTemplate.role = fromName<ProcessRole>(arguments.value("role", "other")).value_or(ProcessRole::Other);
        process.eventTemplate.upstream = arguments.value("upstream", "");
        process.eventTemplate.dataCentre = arguments.value("dataCentre", "");
        process.lines.clear();
        const auto log = std::make_shared<std::ofstream>(options.folder + "/" + name + ".log", std::ios::app);
        process.child = ChildProcess::start(context, options.programs.at(arguments.at("program")), arguments.at("args").get<std::vector<std::string>>(),
            [this, &process, log](const std::string& line) {
                *log << line << std::endl;
                handleLogLine(process, line);
            });
        if (!process.child)
            return failure("cannot start " + name);
        record(process.eventTemplate, HistoryKind::ProcessStarted);
        return true;
    }

    json signal(const json& arguments)
    {
        const SignalKind& wanted = signals.at(arguments.at("signal"));
        Process& process = processes.at(arguments.at("name"));
        const bool isAgent = process.eventTemplate.role == ProcessRole::Agent;
        // Recorded before the signal is sent, so that no effect of the signal precedes it in the history.
        record(process.eventTemplate, wanted.kind);
        if (wanted.kind == HistoryKind::ShutdownBegan && isAgent)
            record(process.eventTemplate, HistoryKind::DrainBegan);
        if (!process.child->signal(wanted.number))
            return failure(process.eventTemplate.process + " is not running");
        return true;
    }

    json exitCode(const json& arguments)
    {
        const auto code = processes.at(arguments.at("name")).child->exitCode();
        return code ? json(*code) : json();
    }

    json folder(const json&) { return options.folder; }

    json parse(const json& arguments) { return json::parse(arguments.at("text").get<std::string>(), nullptr, false); }

    json lines(const json& arguments) { return processes.at(arguments.at("name")).lines; }

    json http(const json& arguments)
    {
        struct Reply {
            bool isDone = false;
            std::optional<HttpResponse> response;
        };
        const auto reply = std::make_shared<Reply>();
        HttpRequest request { .method = arguments.value("method", "GET"), .target = arguments.at("path") };
        request.body = arguments.contains("body") ? arguments["body"].dump() : "";
        startHttpCall(context, loopbackEndpoint(arguments.at("port")), std::move(request), { .timeout = 2000 },
            { .onDone = [reply](std::optional<HttpResponse> response, const HttpOutcome&) {
                reply->isDone = true;
                reply->response = std::move(response);
            } });
        while (!reply->isDone) {
            context.restart();
            context.run_one();
        }
        if (!reply->response)
            return {};
        const auto parsed = json::parse(reply->response->body, nullptr, false);
        return { { "status", reply->response->status }, { "body", parsed.is_discarded() ? json(reply->response->body) : parsed } };
    }

    json relay(const json& arguments)
    {
        relays.push_back(std::make_unique<Relay>(context, loopbackEndpoint(arguments.at("to")).port()));
        return { { "id", relays.size() - 1 }, { "port", relays.back()->port() } };
    }

    json silence(const json& arguments)
    {
        relays.at(arguments.at("id"))->silence();
        return true;
    }

    json cut(const json& arguments)
    {
        relays.at(arguments.at("id"))->cut();
        return true;
    }

    json hold(const json& arguments)
    {
        relays.at(arguments.at("id"))->hold(arguments.at("held"));
        return true;
    }

    json connections(const json& arguments) { return relays.at(arguments.at("id"))->connectionCount(); }

    /// Starts a change of configuration: a complete `config`, or `dataCentre` with `out`. Returns the id of the change.
    json change(const json& arguments)
    {
        auto change = std::make_shared<Change>();
        PlatformOptions platform { .server = loopbackEndpoint(arguments.at("platform")) };
        platform.callTimeout = 1000;
        change->apply = std::make_unique<ConfigApply>(context, platform);
        changes.push_back(change);
        if (arguments.contains("config")) {
            std::vector<Fault> faults;
            auto config = parseConfig(arguments["config"].dump(), faults);
            if (!config)
                return failure(std::string(nameOf(faults.front().kind)) + " at " + faults.front().place);
            change->apply->apply(std::move(*config), [this, change](const ApplyReport& report) { recordChange(*change, report, { .kind = HistoryKind::OperatorApplied }); });
        } else {
            const bool out = arguments.at("out");
            const std::string dataCentre = arguments.at("dataCentre");
            const HistoryEvent event { .kind = out ? HistoryKind::OperatorTookOut : HistoryKind::OperatorBroughtBack, .dataCentre = dataCentre };
            if (out)
                history->append({ .kind = HistoryKind::OperatorBeganTakeOut, .dataCentre = dataCentre });
            change->apply->setDataCentreOut(dataCentre, out, [this, change, event](const ApplyReport& report) { recordChange(*change, report, event); });
        }
        return changes.size() - 1;
    }

    json changed(const json& arguments)
    {
        const auto& report = changes.at(arguments.at("id"))->report;
        if (!report)
            return {};
        return { { "outcome", nameOf(report->error) }, { "version", report->version }, { "changed", report->changed } };
    }

    json record(const json& arguments)
    {
        json event = arguments;
        event["t"] = clock.now();
        HistoryError error = HistoryError::None;
        const auto parsed = parseJsonLine(event.dump(), error);
        if (!parsed)
            return failure("not an event: " + event.dump());
        history->append(*parsed);
        return true;
    }

    json check(const json& arguments)
    {
        std::vector<std::string> files;
        for (const auto& entry : std::filesystem::directory_iterator(options.folder)) {
            if (entry.path().extension() == ".history")
                files.push_back(entry.path());
        }
        std::ranges::sort(files);
        HistoryFault fault;
        const auto events = readHistory(files, fault);
        if (!events)
            return failure(fault.file + ":" + std::to_string(fault.line) + ": " + std::string(nameOf(fault.error)));
        CheckOptions checkOptions;
        checkOptions.settle = arguments.value("settleMs", checkOptions.settle);
        checkOptions.configBound = arguments.value("configMs", checkOptions.configBound);
        checkOptions.coldDetect = arguments.value("coldDetectMs", checkOptions.coldDetect);
        const auto result = checkHistory(*events, checkOptions);
        json violations = json::array();
        for (const Violation& violation : result.violations) {
            std::string text = std::string(nameOf(violation.promise)) + ": " + violation.text;
            for (const HistoryEvent& event : violation.events)
                text.append("\n    ").append(toJsonLine(event));
            violations.push_back(text);
        }
        return { { "violations", violations }, { "summary", json::parse(toJson(result.summary)) } };
    }

    void record(HistoryEvent event, HistoryKind kind)
    {
        event.kind = kind;
        history->append(std::move(event));
    }

    /// Keeps the line, and records when a configuration version came into force according to the daemon's log.
    void handleLogLine(Process& process, const std::string& line)
    {
        process.lines.push_back(line);
        if (line.find(configEventMarker) != std::string::npos)
            history->append({ .kind = HistoryKind::ConfigInForce, .process = process.eventTemplate.process, .version = parseVersion(line) });
    }

    void recordChange(Change& change, const ApplyReport& report, HistoryEvent event)
    {
        change.report = report;
        event.version = report.version;
        if (report.error == ApplyError::None)
            history->append(std::move(event));
    }

    ScenarioOptions options;
    Clock clock;
    asio::io_context context;
    std::unique_ptr<HistoryWriter> history;
    std::vector<std::unique_ptr<ReservedPort>> ports;
    std::vector<std::unique_ptr<Relay>> relays;
    std::vector<std::shared_ptr<Change>> changes;
    std::map<std::string, Process> processes;
};

Scenario::Scenario(ScenarioOptions options)
    : m_d(std::make_unique<Private>(std::move(options)))
{
}

Scenario::~Scenario() = default;

json Scenario::perform(const std::string& verb, const json& arguments)
{
    using Action = json (Private::*)(const json&);
    static const std::map<std::string, Action> actions {
        { "now", &Private::now },
        { "pump", &Private::pump },
        { "port", &Private::port },
        { "write", &Private::write },
        { "spawn", &Private::spawn },
        { "signal", &Private::signal },
        { "exitCode", &Private::exitCode },
        { "lines", &Private::lines },
        { "http", &Private::http },
        { "relay", &Private::relay },
        { "silence", &Private::silence },
        { "cut", &Private::cut },
        { "hold", &Private::hold },
        { "connections", &Private::connections },
        { "change", &Private::change },
        { "changed", &Private::changed },
        { "folder", &Private::folder },
        { "parse", &Private::parse },
        { "record", static_cast<Action>(&Private::record) },
        { "check", &Private::check },
    };
    const auto action = actions.find(verb);
    if (action == actions.end())
        return failure("unknown verb");
    try {
        return (m_d.get()->*action->second)(arguments);
    } catch (const std::exception& exception) {
        return failure(exception.what());
    }
}

}
