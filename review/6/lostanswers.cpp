// The store loses its answers to the system for a moment, just when the operator's evacuation of a zone is confirmed.

#include "../standins-2/run.h"

using namespace review;

namespace {

constexpr Millis evacuateBound = 5000;
/// An unstable core stretches the bound by this much at most.
constexpr Millis partitionBound = 12000;
constexpr Millis contactTime = 4000;
constexpr const char* evacuatedZone = "north";
/// How long the store loses answers, and how often an evacuation is tried at most. A try in which another call of the system falls
/// into that time as well is noticed by its time-out.
constexpr Millis lossTime = 40;
constexpr int maxTries = 3;
/// The time over which the platform's losses are named as a share.
constexpr Millis lossPeriod = 4500;

}

int main(int argc, char** argv)
{
    const RunOptions options = runOptions(argc, argv);
    asio::io_context context;
    Record record(options.recordPath);
    Deployment* running = nullptr;
    std::vector<Requester*> requesters;
    std::optional<Millis> confirmedAt;
    std::size_t afterBound = 0;
    std::size_t late = 0;
    Millis latest = 0;
    TargetEvents events {
        .onOpening = [&](const std::string& host, const Flow& flow) {
            Millis sentAt = -1;
            for (const Requester* requester : requesters)
                sentAt = std::max(sentAt, requester->sentAt(flow));
            record.add(host + " takes " + toText(flow) + ", sent at " + std::to_string(sentAt));
            const Machine& machine = running->machine(host);
            if (!confirmedAt || machine.zone != evacuatedZone || record.now() <= *confirmedAt + evacuateBound)
                return;
            // Only requests through machines in touch count: the core has been without disturbance for `contactTime`.
            const bool areInTouch = std::ranges::all_of(running->machines(), [&](const auto& each) { return record.now() - each->disturbedAt > contactTime; });
            if (!areInTouch)
                return;
            ++afterBound;
            if (record.now() <= *confirmedAt + evacuateBound + partitionBound)
                return;
            ++late;
            latest = record.now() - *confirmedAt;
            record.add("EVAC broken: " + host + " in " + machine.zone + " takes an opening " + std::to_string(latest) + " ms after the evacuation was confirmed"); },
        .onRun = [&](const std::string& host, const std::string& request) { record.add(host + " runs " + request); },
        .onReset = [&](const std::string& host, const Flow& flow) { record.add(host + " resets " + toText(flow)); },
    };
    Deployment deployment(context, { .folder = options.folder, .targets = { "board", "board" } }, events, record);
    running = &deployment;
    if (!startAndWait(deployment, 10000))
        return finish(record, Outcome::CouldNotRun, "the deployment is not ready");
    for (const std::string zone : { "north", "south" }) {
        requesters.push_back(&deployment.addRequester(zone, [&](const Flow& flow) { record.add("the system resets " + toText(flow)); }));
        requesters.back()->openEvery(deployment.route(0), 50, 4000);
    }
    deployment.runFor(3000);
    if (requesters.front()->counts().answered < 30)
        return finish(record, Outcome::CouldNotRun, "only " + std::to_string(requesters.front()->counts().answered) + " requests were answered before the disruption");

    std::string losses;
    for (int tried = 0; tried < maxTries && late == 0; ++tried) {
        if (options.hasTrouble) {
            deployment.store().loseAnswers(lossTime);
            for (const auto& machine : deployment.machines())
                machine->disturbedAt = record.now() + lossTime;
        }
        deployment.store().write("evacuations", evacuatedZone, nlohmann::json::object());
        confirmedAt = record.now();
        deployment.runFor(lossPeriod);
        losses = std::to_string(deployment.store().answersLost()) + " of " + std::to_string(deployment.store().answersDue()) + " answers were lost in " + std::to_string(lossPeriod) + " ms";
        deployment.runFor(8000 - lossPeriod);
        if (afterBound > 0)
            deployment.runFor(22000);
        confirmedAt.reset();
        deployment.store().remove("evacuations", evacuatedZone);
        deployment.runFor(6000);
    }
    for (Requester* requester : requesters)
        requester->stop();
    const std::string summary = std::to_string(late) + " openings reached targets of the zone later than " + std::to_string(evacuateBound + partitionBound) + " ms after its evacuation was confirmed, the last one after " + std::to_string(latest) + " ms, and " + std::to_string(afterBound) + " later than " + std::to_string(evacuateBound) + " ms" + (options.hasTrouble ? "; " + losses : "");
    return finish(record, late > 0 ? Outcome::Broken : Outcome::Held, summary);
}
