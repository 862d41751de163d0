#include "experimentfile.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

namespace kingcuptrail {

namespace {

    using Json = nlohmann::json;

    constexpr double unbounded = std::numeric_limits<double>::max();

    /// The bounds of a numeric field; a required field has no default.
    struct NumberRule {
        double minimum = 0;
        double maximum = unbounded;
        bool required = false;
    };

    /// Reads the fields of one JSON object, and records missing, invalid and unknown fields as faults.
    class FieldReader {
    public:
        FieldReader(const Json& object, std::string place, std::vector<Fault>& faults)
            : m_object(object)
            , m_place(std::move(place))
            , m_faults(faults)
        {
            if (!m_object.is_object())
                fault(FaultKind::WrongType, "", "expected an object");
        }

        template <typename Number>
        void number(const char* name, Number& value, const NumberRule& rule = {})
        {
            const Json* field = find(name, rule.required);
            if (!field)
                return;
            if (!field->is_number()) {
                fault(FaultKind::WrongType, name, "expected a number");
                return;
            }
            const double read = field->get<double>();
            if (read < rule.minimum || read > rule.maximum) {
                fault(FaultKind::OutOfRange, name, "must be between " + std::to_string(rule.minimum) + " and " + std::to_string(rule.maximum));
                return;
            }
            value = static_cast<Number>(read);
        }

        void text(const char* name, std::string& value)
        {
            const Json* field = find(name, true);
            if (field && field->is_string())
                value = field->get<std::string>();
            else if (field)
                fault(FaultKind::WrongType, name, "expected a string");
        }

        /// Calls `read(element, place)` for each element of the list.
        template <typename Read>
        void list(const char* name, bool required, Read read)
        {
            const Json* field = find(name, required);
            if (!field)
                return;
            if (!field->is_array()) {
                fault(FaultKind::WrongType, name, "expected a list");
                return;
            }
            for (std::size_t index = 0; index < field->size(); ++index)
                read((*field)[index], childPointer(name) + "/" + std::to_string(index));
        }

        template <typename Read>
        void object(const char* name, Read read)
        {
            if (const Json* field = find(name, true))
                read(*field, childPointer(name));
        }

        /// Reports every field that was not read, so that a misspelt field isn't ignored silently.
        void finish()
        {
            if (!m_object.is_object())
                return;
            for (const auto& [name, value] : m_object.items()) {
                if (!m_known.contains(name))
                    fault(FaultKind::UnknownField, name, "unknown field");
            }
        }

        void fault(FaultKind kind, const std::string& name, std::string detail)
        {
            m_faults.push_back({ .kind = kind, .place = name.empty() ? m_place : childPointer(name), .detail = std::move(detail) });
        }

    private:
        const Json* find(const std::string& name, bool required)
        {
            m_known.insert(name);
            if (!m_object.is_object())
                return nullptr;
            const auto field = m_object.find(name);
            if (field != m_object.end())
                return &*field;
            if (required)
                fault(FaultKind::MissingField, name, "required field is missing");
            return nullptr;
        }

        std::string childPointer(const std::string& name) const { return m_place + "/" + name; }

        const Json& m_object;
        std::string m_place;
        std::vector<Fault>& m_faults;
        std::set<std::string> m_known;
    };

    ServiceSpec readService(const Json& json, const std::string& place, std::vector<Fault>& faults)
    {
        ServiceSpec service;
        FieldReader reader(json, place, faults);
        reader.text("name", service.name);
        reader.number("targets", service.targets, { .minimum = 1, .maximum = 10000, .required = true });
        reader.number("slots", service.slots, { .minimum = 1, .maximum = 10000, .required = true });
        reader.number("queueLimit", service.queueLimit, { .minimum = 0, .maximum = 100000 });
        reader.number("flowsPerTarget", service.flowsPerTarget, { .minimum = 0, .maximum = 100000, .required = true });
        reader.number("warmUpMs", service.warmUp);
        reader.number("coldForMs", service.coldDuration);
        reader.number("fallOverFactor", service.crashFactor);
        reader.finish();
        return service;
    }

    DeploymentSpec readDeployment(const Json& json, const std::string& place, std::vector<Fault>& faults)
    {
        DeploymentSpec deployment;
        FieldReader reader(json, place, faults);
        reader.list("dataCentres", true, [&](const Json& name, const std::string& namePlace) {
            if (name.is_string())
                deployment.dataCentres.push_back(name.get<std::string>());
            else
                faults.push_back({ .kind = FaultKind::WrongType, .place = namePlace, .detail = "expected a string" });
        });
        reader.number("betweenDataCentresMs", deployment.betweenDataCentres);
        reader.number("withinDataCentreMs", deployment.withinDataCentre);
        reader.number("toCallersMs", deployment.toCallers);
        reader.number("balancers", deployment.balancers, { .minimum = 1, .maximum = 1000, .required = true });
        reader.number("heartbeatMs", deployment.heartbeat, { .minimum = 10 });
        reader.number("linkSilenceMs", deployment.linkSilence, { .minimum = 10 });
        reader.number("leaseMs", deployment.lease, { .minimum = 100 });
        reader.number("watchDelayMs", deployment.watchDelay);
        reader.list("services", true, [&](const Json& service, const std::string& servicePlace) {
            deployment.services.push_back(readService(service, servicePlace, faults));
        });
        reader.finish();
        return deployment;
    }

    LoadSpec readLoad(const Json& json, const std::string& place, std::vector<Fault>& faults)
    {
        LoadSpec load;
        FieldReader reader(json, place, faults);
        reader.text("service", load.service);
        reader.number("utilisation", load.utilisation, { .minimum = 0, .maximum = 100, .required = true });
        reader.number("shortWorkMs", load.shortWork, { .minimum = 1 });
        reader.number("longWorkMs", load.longWork, { .minimum = 1 });
        reader.number("longShare", load.longShare, { .minimum = 0, .maximum = 1 });
        reader.number("onceShare", load.onceShare, { .minimum = 0, .maximum = 1 });
        reader.number("deadlineMs", load.deadline, { .minimum = 1 });
        reader.number("flowLifeMs", load.flowLifetime);
        reader.number("flowIntervalMs", load.flowInterval, { .minimum = 10 });
        reader.number("feedShare", load.feedShare, { .minimum = 0, .maximum = 0.99 });
        reader.number("repeatShare", load.repeatShare, { .minimum = 0, .maximum = 1 });
        reader.number("callerHosts", load.callerHosts, { .minimum = 1 });
        reader.finish();
        return load;
    }

    FailureSpec readFailure(const Json& json, const std::string& place, std::vector<Fault>& faults)
    {
        FailureSpec failure;
        FieldReader reader(json, place, faults);
        reader.number("atMs", failure.at, { .required = true });
        std::string kind;
        reader.text("kind", kind);
        if (const auto known = fromName<FailureKind>(kind))
            failure.kind = *known;
        else
            reader.fault(FaultKind::OutOfRange, "kind", "unknown kind of failure");
        reader.number("target", failure.target);
        reader.number("peer", failure.peer);
        reader.number("durationMs", failure.duration);
        reader.number("value", failure.value);
        reader.finish();
        return failure;
    }

    /// Number of balancers, data centres or targets among which the target of a failure is chosen.
    std::size_t targetLimit(FailureKind kind, const DeploymentSpec& deployment)
    {
        switch (kind) {
        case FailureKind::BalancerKill:
        case FailureKind::BalancerFreeze:
        case FailureKind::BalancerJoin:
        case FailureKind::LinkSilent:
        case FailureKind::StoreSlow:
            return deployment.balancers;
        case FailureKind::DataCentreOut:
        case FailureKind::DataCentreBack:
        case FailureKind::OperatorRace:
            return deployment.dataCentres.size();
        default:
            return std::max<std::size_t>(1, targetCount(deployment));
        }
    }

    void checkReferences(const ExperimentSpec& experiment, std::vector<Fault>& faults)
    {
        const DeploymentSpec& deployment = experiment.deployment;
        if (deployment.dataCentres.empty())
            faults.push_back({ .kind = FaultKind::OutOfRange, .place = "/deployment/dataCentres", .detail = "at least one data centre is required" });
        if (deployment.services.empty())
            faults.push_back({ .kind = FaultKind::OutOfRange, .place = "/deployment/services", .detail = "at least one service is required" });
        std::set<std::string> names;
        for (std::size_t index = 0; index < deployment.services.size(); ++index) {
            if (!names.insert(deployment.services[index].name).second)
                faults.push_back({ .kind = FaultKind::DuplicateName, .place = "/deployment/services/" + std::to_string(index) + "/name", .detail = deployment.services[index].name });
        }
        for (std::size_t index = 0; index < experiment.loads.size(); ++index) {
            if (!names.contains(experiment.loads[index].service))
                faults.push_back({ .kind = FaultKind::UnknownService, .place = "/loads/" + std::to_string(index) + "/service", .detail = experiment.loads[index].service });
        }
        for (std::size_t index = 0; index < experiment.failures.size(); ++index) {
            const FailureSpec& failure = experiment.failures[index];
            const std::string place = "/failures/" + std::to_string(index);
            if (failure.target >= targetLimit(failure.kind, deployment))
                faults.push_back({ .kind = FaultKind::OutOfRange, .place = place + "/target", .detail = "no target with this index" });
            if (failure.kind == FailureKind::LinkSilent && failure.peer >= targetCount(deployment))
                faults.push_back({ .kind = FaultKind::OutOfRange, .place = place + "/peer", .detail = "no target with this index" });
        }
    }

}

std::optional<ExperimentSpec> parseExperiment(std::string_view json, std::vector<Fault>& faults)
{
    const std::size_t faultsBefore = faults.size();
    const Json root = Json::parse(json, nullptr, false);
    if (root.is_discarded()) {
        faults.push_back({ .kind = FaultKind::NotJson, .place = "", .detail = "the file is not valid JSON" });
        return std::nullopt;
    }
    ExperimentSpec experiment;
    FieldReader reader(root, "", faults);
    reader.text("name", experiment.name);
    reader.number("seed", experiment.seed);
    reader.number("warmUpMs", experiment.warmUp);
    reader.number("durationMs", experiment.duration, { .minimum = 1, .required = true });
    reader.object("deployment", [&](const Json& value, const std::string& place) {
        experiment.deployment = readDeployment(value, place, faults);
    });
    reader.list("loads", true, [&](const Json& value, const std::string& place) {
        experiment.loads.push_back(readLoad(value, place, faults));
    });
    reader.list("failures", false, [&](const Json& value, const std::string& place) {
        experiment.failures.push_back(readFailure(value, place, faults));
    });
    reader.list("policies", true, [&](const Json& value, const std::string& place) {
        const auto policy = value.is_string() ? fromName<PolicyName>(value.get<std::string>()) : std::nullopt;
        if (policy)
            experiment.policies.push_back(*policy);
        else
            faults.push_back({ .kind = FaultKind::OutOfRange, .place = place, .detail = "unknown policy" });
    });
    reader.finish();
    checkReferences(experiment, faults);
    if (faults.size() != faultsBefore)
        return std::nullopt;
    return experiment;
}

}
