#include "experiment.h"

#include <algorithm>

namespace kingcuptrail {

std::size_t targetCount(const DeploymentSpec& deployment)
{
    std::size_t count = 0;
    for (const ServiceSpec& service : deployment.services)
        count += service.targets;
    return count;
}

std::size_t dataCentreOf(std::size_t index, const DeploymentSpec& deployment)
{
    return index % deployment.dataCentres.size();
}

std::size_t serviceOf(std::size_t target, const DeploymentSpec& deployment)
{
    std::size_t service = 0;
    while (service + 1 < deployment.services.size() && target >= deployment.services[service].targets) {
        target -= deployment.services[service].targets;
        ++service;
    }
    return service;
}

const LoadSpec& loadOf(std::size_t service, const ExperimentSpec& experiment)
{
    static const LoadSpec idle;
    const std::string& name = experiment.deployment.services[service].name;
    const auto load = std::ranges::find(experiment.loads, name, &LoadSpec::service);
    return load != experiment.loads.end() ? *load : idle;
}

UpstreamId targetId(std::size_t target)
{
    return (target + 1) * 0x9e3779b97f4a7c15ULL;
}

std::string targetName(std::size_t target, const DeploymentSpec& deployment)
{
    const std::size_t service = serviceOf(target, deployment);
    return deployment.services[service].name + "-" + std::to_string(target);
}

std::string agentName(std::size_t target, const DeploymentSpec& deployment)
{
    return "agent-" + targetName(target, deployment);
}

std::string balancerName(std::size_t balancer)
{
    return "balancer-" + std::to_string(balancer);
}

double meanWork(const LoadSpec& load)
{
    return static_cast<double>(load.shortWork) * (1 - load.longShare) + static_cast<double>(load.longWork) * load.longShare;
}

}
