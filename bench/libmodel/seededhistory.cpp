#include "seededhistory.h"

#include "randomsource.h"
#include "simulation.h"

#include <algorithm>

namespace kingcuptrail {

namespace {

    constexpr Millis duration = 16000;
    /// Failures end about this long before the end of the run, so that effects with a bound of several seconds can be observed.
    constexpr Millis failureFreeEnd = 6000;
    /// Less than the link silence of the generated deployments.
    constexpr Millis pauseThreshold = 500;
    /// Minimum duration of a failure: the shortest time in which an upstream restarts or a data centre is taken out and returned.
    constexpr Millis minFailureDuration = 300;
    constexpr std::size_t minFailures = 3;
    constexpr std::size_t failureCountRange = 8;

    constexpr std::array<FailureKind, 21> failureKinds {
        FailureKind::BalancerKill,
        FailureKind::BalancerFreeze,
        FailureKind::AgentKill,
        FailureKind::AgentFreeze,
        FailureKind::UpstreamKill,
        FailureKind::UpstreamSlow,
        FailureKind::UpstreamShed,
        FailureKind::Drain,
        FailureKind::Restart,
        FailureKind::Restart,
        FailureKind::DataCentreOut,
        FailureKind::DataCentreOut,
        FailureKind::OperatorRace,
        FailureKind::LinkSilent,
        FailureKind::StoreDown,
        FailureKind::StoreSlow,
        FailureKind::StoreLosesAnswers,
        FailureKind::LoadFactor,
        FailureKind::PacketLoss,
        FailureKind::PacketDuplication,
        FailureKind::PacketReorder,
    };

    DeploymentSpec generateDeployment(RandomSource& random)
    {
        const auto slots = static_cast<std::uint32_t>(2 + random.below(3));
        return {
            .dataCentres = random.chance(0.5) ? std::vector<std::string> { "north", "south" } : std::vector<std::string> { "north", "centre", "south" },
            .betweenDataCentres = 1.5,
            .balancers = 3 + random.below(2),
            .heartbeat = 200,
            .linkSilence = 800,
            .lease = 3000,
            .services = {
                { .name = "status", .targets = 4, .slots = slots, .queueLimit = 16, .flowsPerTarget = 5, .warmUp = 2500, .coldDuration = 2000 },
                { .name = "filing", .targets = 3, .slots = slots, .queueLimit = 16, .flowsPerTarget = 5, .warmUp = 2500, .coldDuration = 2000 },
            },
        };
    }

    std::vector<LoadSpec> generateLoads(RandomSource& random)
    {
        const double utilisation = 0.2 + 0.5 * random.uniform();
        return {
            { .service = "status", .utilisation = utilisation, .shortWork = 60, .onceShare = 0.2, .deadline = 4500, .flowLifetime = 3000, .flowInterval = 700, .feedShare = 0.3, .callerHosts = 3 },
            { .service = "filing", .utilisation = utilisation, .shortWork = 80, .longWork = 300, .longShare = 0.3, .onceShare = 0.8, .deadline = 4500, .flowLifetime = 3000, .flowInterval = 700, .feedShare = 0.3, .repeatShare = 0.2, .callerHosts = 3 },
        };
    }

    std::size_t generateTarget(FailureKind kind, const DeploymentSpec& deployment, RandomSource& random)
    {
        switch (kind) {
        // The first balancer never fails, since nothing is guaranteed without any balancer.
        case FailureKind::BalancerKill:
        case FailureKind::BalancerFreeze:
        case FailureKind::LinkSilent:
            return 1 + random.below(deployment.balancers - 1);
        case FailureKind::StoreSlow:
            return random.below(deployment.balancers);
        case FailureKind::DataCentreOut:
        case FailureKind::OperatorRace:
            return random.below(deployment.dataCentres.size());
        default:
            return random.below(targetCount(deployment));
        }
    }

    double generateValue(FailureKind kind, RandomSource& random)
    {
        constexpr double maxPacketFault = 0.1;
        constexpr double maxSlowness = 8;
        constexpr double maxWatchSlowness = 80;
        switch (kind) {
        case FailureKind::LoadFactor:
            return 1 + 4 * random.uniform();
        case FailureKind::UpstreamSlow:
            return 1 + maxSlowness * random.uniform();
        case FailureKind::StoreSlow:
            return maxWatchSlowness * random.uniform();
        default:
            return maxPacketFault * random.uniform();
        }
    }

    FailureSpec generateFailure(FailureKind kind, const DeploymentSpec& deployment, RandomSource& random)
    {
        FailureSpec failure { .kind = kind };
        failure.at = static_cast<Millis>(random.below(duration - failureFreeEnd - 1000));
        failure.target = generateTarget(kind, deployment, random);
        failure.peer = random.below(targetCount(deployment));
        const bool isPermanent = kind == FailureKind::Drain || kind == FailureKind::Restart;
        // The operator whose write conflicts tries again after half a second.
        const Millis shortest = kind == FailureKind::OperatorRace ? 5 * minFailureDuration : minFailureDuration;
        const auto longest = static_cast<std::size_t>(duration - failureFreeEnd - failure.at);
        failure.duration = isPermanent ? 0 : shortest + static_cast<Millis>(random.below(longest));
        failure.value = generateValue(kind, random);
        return failure;
    }

}

ExperimentSpec generateExperiment(std::uint64_t seed)
{
    RandomSource random(seed);
    ExperimentSpec experiment { .name = "history", .seed = seed, .warmUp = 1500, .duration = duration };
    experiment.deployment = generateDeployment(random);
    experiment.loads = generateLoads(random);
    const std::size_t failures = minFailures + random.below(failureCountRange);
    for (std::size_t failure = 0; failure < failures; ++failure)
        experiment.failures.push_back(generateFailure(failureKinds[random.below(failureKinds.size())], experiment.deployment, random));
    // Every history has answers with the content of another request and packets with the address of another service.
    experiment.failures.push_back({ .kind = FailureKind::CrossedAnswers, .value = 0.05 });
    experiment.failures.push_back({ .kind = FailureKind::StrayPackets, .value = 0.05 });
    return experiment;
}

SeededHistory runSeededHistory(std::uint64_t seed, DisabledGuard guard)
{
    PolicyOptions policy = withoutGuard(guard);
    policy.pause.pauseThreshold = pauseThreshold;
    Simulation simulation(generateExperiment(seed), policy, true);
    simulation.run();
    const auto& events = simulation.history().events();
    return { .result = checkHistory(events), .events = events };
}

}
