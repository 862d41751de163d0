#include "configdiff.h"

#include <algorithm>
#include <map>

namespace kingcuptrail {

namespace {

    template <typename Named>
    std::map<std::string_view, const Named*> byName(const std::vector<Named>& items)
    {
        std::map<std::string_view, const Named*> index;
        for (const Named& item : items)
            index.emplace(item.name, &item);
        return index;
    }

    std::string join(const std::vector<std::string>& names)
    {
        std::string text;
        for (const std::string& name : names)
            text.append(text.empty() ? "" : ",").append(name);
        return text;
    }

    void addField(std::string& detail, std::string_view field, const std::string& from, const std::string& to)
    {
        if (from == to)
            return;
        detail.append(detail.empty() ? "" : "; ").append(field).append(" ").append(from).append(" -> ").append(to);
    }

    std::string describe(const ServiceConfig& from, const ServiceConfig& to)
    {
        std::string detail;
        addField(detail, "address", toString(from.address), toString(to.address));
        addField(detail, "dataCentres", join(from.dataCentres), join(to.dataCentres));
        addField(detail, "slots", std::to_string(from.slots), std::to_string(to.slots));
        addField(detail, "queueLimit", std::to_string(from.queueLimit), std::to_string(to.queueLimit));
        addField(detail, "flowLimit", std::to_string(from.flowLimit), std::to_string(to.flowLimit));
        addField(detail, "warmUpMs", std::to_string(from.warmUp), std::to_string(to.warmUp));
        return detail;
    }

    void diffServices(const Config& from, const Config& to, std::vector<ConfigChange>& changes)
    {
        const auto before = byName(from.services);
        const auto after = byName(to.services);
        for (const auto& [name, service] : before) {
            const auto found = after.find(name);
            if (found == after.end())
                changes.push_back({ .kind = ChangeKind::ServiceRemoved, .name = service->name });
            else if (*found->second != *service)
                changes.push_back({ .kind = ChangeKind::ServiceChanged, .name = service->name, .detail = describe(*service, *found->second) });
        }
        for (const auto& [name, service] : after) {
            if (!before.contains(name))
                changes.push_back({ .kind = ChangeKind::ServiceAdded, .name = service->name, .detail = toString(service->address) });
        }
    }

    void diffDataCentres(const Config& from, const Config& to, std::vector<ConfigChange>& changes)
    {
        const auto before = byName(from.dataCentres);
        const auto after = byName(to.dataCentres);
        for (const auto& [name, dataCentre] : before) {
            const auto found = after.find(name);
            if (found == after.end())
                changes.push_back({ .kind = ChangeKind::DataCentreRemoved, .name = dataCentre->name });
            else if (found->second->out != dataCentre->out)
                changes.push_back({ .kind = dataCentre->out ? ChangeKind::DataCentreBroughtBack : ChangeKind::DataCentreTakenOut, .name = dataCentre->name });
        }
        for (const auto& [name, dataCentre] : after) {
            if (!before.contains(name))
                changes.push_back({ .kind = ChangeKind::DataCentreAdded, .name = dataCentre->name, .detail = dataCentre->out ? "out" : "" });
        }
    }

}

std::vector<ConfigChange> diffConfigs(const Config& from, const Config& to)
{
    const Config before = normalised(from);
    const Config after = normalised(to);
    std::vector<ConfigChange> changes;
    diffServices(before, after, changes);
    diffDataCentres(before, after, changes);
    return changes;
}

Config withInheritedStates(Config wanted, const std::vector<DataCentreConfig>& current)
{
    const auto states = byName(current);
    for (DataCentreConfig& dataCentre : wanted.dataCentres) {
        const auto found = states.find(dataCentre.name);
        if (!dataCentre.isOutSpecified && found != states.end())
            dataCentre.out = found->second->out;
    }
    return wanted;
}

bool areAllDataCentresOut(const std::vector<DataCentreConfig>& dataCentres)
{
    return !dataCentres.empty() && std::all_of(dataCentres.begin(), dataCentres.end(), [](const DataCentreConfig& dataCentre) { return dataCentre.out; });
}

}
