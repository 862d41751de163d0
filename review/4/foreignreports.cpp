// A foreign program sends status reports with an unknown service to the agent of a target that serves. The flows of the target
// are its own all the while: nobody else may reset them.

#include "../standins-2/run.h"

using namespace review;

int main(int argc, char** argv)
{
    const RunOptions options = runOptions(argc, argv);
    asio::io_context context;
    Record record(options.recordPath);
    std::map<std::string, std::size_t> openings;
    std::size_t brokenFlows = 0;
    Deployment* running = nullptr;
    TargetEvents events {
        .onOpening = [&](const std::string& host, const Flow& flow) {
            ++openings[host];
            record.add(host + " takes " + toText(flow)); },
        .onRun = [&](const std::string& host, const std::string& request) { record.add(host + " runs " + request); },
        .onReset = [&](const std::string& host, const Flow& flow) { record.add(host + " resets " + toText(flow)); },
    };
    Deployment deployment(context, { .folder = options.folder, .targets = { "board" } }, events, record);
    running = &deployment;
    if (!startAndWait(deployment, 10000))
        return finish(record, Outcome::CouldNotRun, "the deployment is not ready");

    // FLOW, (a): the target lives and is undisturbed, and the requester gets a reset that the target did not send.
    const auto checkReset = [&](const Flow& flow) {
        for (const auto& machine : running->machines()) {
            if (machine->target && machine->target->holds(flow)) {
                ++brokenFlows;
                record.add("FLOW broken: the requester of " + toText(flow) + " gets a reset of the system; " + machine->name + " lives and holds the flow");
            }
        }
    };
    std::vector<Requester*> requesters;
    for (const std::string zone : { "north", "south" })
        requesters.push_back(&deployment.addRequester(zone, checkReset));

    // Long flows with a request each 400 ms, and a new flow for each of 20 requests a second.
    for (Requester* requester : requesters) {
        for (int index = 0; index < 10; ++index)
            requester->open(deployment.route(0), 45, 400, 4000);
        requester->openEvery(deployment.route(0), 50, 4000);
    }
    deployment.runFor(6000);
    std::size_t openFlows = 0;
    for (const Requester* requester : requesters)
        openFlows += requester->openFlows();
    if (openFlows < 15)
        return finish(record, Outcome::CouldNotRun, "only " + std::to_string(openFlows) + " flows are open before the disruption");

    Machine& disturbed = **std::ranges::find_if(deployment.machines(), [](const auto& machine) { return machine->target != nullptr; });
    std::shared_ptr<kingcuptrail::HttpCall> call;
    const std::uint64_t foreignBorn = kingcuptrail::unixMillis();
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        if (options.hasTrouble) {
            const nlohmann::json body { { "service", "ledger" }, { "address", disturbed.address.to_string() + ":9000" }, { "zone", disturbed.zone }, { "version", "v3" }, { "slots", 4 }, { "state", "ready" }, { "warmup-left-ms", 0 }, { "sequence", sequence }, { "born", foreignBorn } };
            record.add("a foreign program reports " + body.dump() + " at " + disturbed.name);
            kingcuptrail::HttpCall::Handlers handlers;
            handlers.onDone = [&record](const std::optional<kingcuptrail::HttpResponse>& response, const kingcuptrail::HttpOutcome&) {
                record.add("the foreign report is answered with " + std::to_string(response ? response->status : 0));
            };
            call = kingcuptrail::startHttpCall(context, { disturbed.address, deployment.ports().control }, { .method = "PUT", .target = "/targets/ledger-1", .headers = { { .name = "Content-Type", .value = "application/json" } }, .body = body.dump() }, { .timeout = 1000 }, std::move(handlers));
        }
        deployment.runFor(300);
    }
    const std::size_t before = openings[disturbed.name];
    deployment.runFor(8000);
    const std::size_t after = openings[disturbed.name] - before;
    std::size_t answered = 0;
    for (Requester* requester : requesters) {
        requester->stop();
        answered += requester->counts().answered;
    }
    const std::string summary = std::to_string(brokenFlows) + " open flows were reset by the system while their target held them; in the 8 s afterwards the target took " + std::to_string(after) + " openings; " + std::to_string(answered) + " requests were answered in all";
    return finish(record, brokenFlows > 0 ? Outcome::Broken : Outcome::Held, summary);
}
