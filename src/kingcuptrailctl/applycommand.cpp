#include "blocking.h"
#include "commands.h"
#include "filecommands.h"
#include "inforce.h"
#include "libplatform/configapply.h"
#include "table.h"

#include <nlohmann/json.hpp>

namespace kingcuptrail {

using nlohmann::json;

namespace {

    using Begin = std::function<void(ConfigApply&, ConfigApply::Handler)>;

    ApplyReport change(const CtlOptions& options, const Begin& begin)
    {
        asio::io_context context;
        ConfigApply apply(context, platformOptions(options), { .applyId = {}, .limit = options.timeout });
        return awaitResult<ApplyReport>(context, [&](const std::function<void(ApplyReport)>& done) { begin(apply, done); });
    }

    json lagList(const std::vector<DaemonAnswer>& lagging)
    {
        json list = json::array();
        for (const DaemonAnswer& answer : lagging)
            list.push_back({ { "name", answer.name() }, { "configVersion", answer.status ? answer.status->configVersion : 0 }, { "error", nameOf(answer.error) } });
        return list;
    }

    CommandResult describeInForce(const InForce& inForce, std::string text, json members)
    {
        if (!inForce.isKnown)
            return makeResult(ExitCode::DaemonsUnknown, std::move(text), std::move(members));
        members["daemons"] = inForce.daemons;
        members["lagging"] = lagList(inForce.lagging);
        members["tookMs"] = inForce.took;
        if (inForce.daemons == 0)
            return makeResult(ExitCode::Success, text + "no daemon is registered in the platform yet\n", std::move(members));
        if (inForce.isEverywhere())
            return makeResult(ExitCode::Success, text + "in force on " + std::to_string(inForce.daemons) + " daemons after " + std::to_string(inForce.took) + " ms\n", std::move(members));
        Table table({ "LAGGING", "ADMIN", "STATE" });
        for (const DaemonAnswer& answer : inForce.lagging)
            table.add({ answer.name(), answer.entry.admin.address().to_string() + ":" + std::to_string(answer.entry.admin.port()), describeLag(answer) });
        return makeResult(ExitCode::DaemonsLag, text + table.text(), std::move(members));
    }

    CommandResult describe(const ApplyReport& report, const CtlOptions& options)
    {
        json members { { "version", report.version }, { "changed", report.changed }, { "platformError", nameOf(report.platformError) } };
        const std::string version = "version " + std::to_string(report.version);
        if (report.error == ApplyError::Conflict)
            return makeResult(ExitCode::Conflict, "not accepted: conflicts with " + version + "\n", std::move(members));
        if (report.error != ApplyError::None)
            return makeResult(exitCodeOf(report.error), {}, std::move(members));
        std::string text = report.changed ? "accepted as " + version + "\n" : "no changes compared with " + version + "\n";
        if (!options.wait)
            return makeResult(ExitCode::Success, std::move(text), std::move(members));
        return describeInForce(waitInForce(report.version, options), std::move(text), std::move(members));
    }

    CommandResult setDataCentreOut(const std::string& dataCentre, bool out, const CtlOptions& options)
    {
        const ApplyReport report = change(options, [&](ConfigApply& apply, ConfigApply::Handler handler) { apply.setDataCentreOut(dataCentre, out, std::move(handler)); });
        return describe(report, options);
    }

}

CommandResult applyFile(const std::string& path, const CtlOptions& options)
{
    CommandResult failure;
    const auto wanted = readConfigFile(path, failure);
    if (!wanted)
        return failure;
    const ApplyReport report = change(options, [&](ConfigApply& apply, ConfigApply::Handler handler) { apply.apply(*wanted, std::move(handler)); });
    return describe(report, options);
}

CommandResult takeOut(const std::string& dataCentre, const CtlOptions& options)
{
    return setDataCentreOut(dataCentre, true, options);
}

CommandResult bringBack(const std::string& dataCentre, const CtlOptions& options)
{
    return setDataCentreOut(dataCentre, false, options);
}

}
