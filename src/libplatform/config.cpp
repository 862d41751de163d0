#include "config.h"

#include "configschema.h"
#include "jsontext.h"
#include "schemacheck.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <xxhash.h>

namespace kingcuptrail {

namespace {

    using nlohmann::json;

    constexpr unsigned portBits = 16;
    constexpr std::uint64_t portMask = 0xffff;
    constexpr std::uint64_t maxPort = 0xffff;

    constexpr std::string_view allowedNameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";

    json serviceToJson(const ServiceConfig& service)
    {
        return {
            { "name", service.name },
            { "address", toString(service.address) },
            { "dataCentres", service.dataCentres },
            { "slots", service.slots },
            { "queueLimit", service.queueLimit },
            { "flowLimit", service.flowLimit },
            { "warmUpMs", service.warmUp },
        };
    }

    /// `document` must conform to the schema, so that every field present has the right type and range.
    ServiceConfig serviceFromJson(const json& document)
    {
        ServiceConfig service;
        service.name = document.at("name").get<std::string>();
        service.address = parseServiceAddress(document.at("address").get<std::string>()).value_or(0);
        service.dataCentres = document.at("dataCentres").get<std::vector<std::string>>();
        service.slots = numberField<std::uint32_t>(document, "slots");
        service.queueLimit = numberField(document, "queueLimit", service.queueLimit);
        service.flowLimit = numberField(document, "flowLimit", service.flowLimit);
        service.warmUp = numberField(document, "warmUpMs", service.warmUp);
        return service;
    }

    Config configFromJson(const json& document)
    {
        Config config;
        config.version = numberField(document, "version", ConfigVersion { 0 });
        for (const json& service : document.at("services"))
            config.services.push_back(serviceFromJson(service));
        for (const json& dataCentre : document.at("dataCentres")) {
            config.dataCentres.push_back({
                .name = dataCentre.at("name").get<std::string>(),
                .out = dataCentre.value("out", false),
                .isOutSpecified = dataCentre.contains("out"),
            });
        }
        return config;
    }

    /// The checks that the JSON Schema cannot express: relations between fields, and the syntax of addresses.
    class ConfigValidator {
    public:
        ConfigValidator(const Config& config, std::vector<Fault>& faults)
            : m_config(config)
            , m_faults(faults)
        {
        }

        void run()
        {
            for (std::size_t index = 0; index < m_config.dataCentres.size(); ++index)
                checkDataCentre(m_config.dataCentres[index], childPointer("/dataCentres", index));
            for (std::size_t index = 0; index < m_config.services.size(); ++index)
                checkService(m_config.services[index], childPointer("/services", index));
            const bool allOut = std::all_of(m_config.dataCentres.begin(), m_config.dataCentres.end(),
                [](const DataCentreConfig& dataCentre) { return dataCentre.out; });
            if (allOut)
                add(FaultKind::Inconsistent, "/dataCentres", "Every data centre is taken out of service; no service would be available.");
        }

    private:
        void checkDataCentre(const DataCentreConfig& dataCentre, const std::string& place)
        {
            checkName(dataCentre.name, childPointer(place, "name"));
            if (!m_dataCentres.insert(dataCentre.name).second)
                add(FaultKind::DuplicateName, childPointer(place, "name"), "Another data centre has the name " + dataCentre.name + ".");
        }

        void checkService(const ServiceConfig& service, const std::string& place)
        {
            checkName(service.name, childPointer(place, "name"));
            if (!m_services.insert(service.name).second)
                add(FaultKind::DuplicateName, childPointer(place, "name"), "Another service has the name " + service.name + ".");
            checkAddress(service, childPointer(place, "address"));
            std::set<std::string_view> seen;
            for (std::size_t index = 0; index < service.dataCentres.size(); ++index) {
                const std::string& name = service.dataCentres[index];
                const std::string at = childPointer(childPointer(place, "dataCentres"), index);
                if (!m_dataCentres.contains(name))
                    add(FaultKind::UnknownDataCentre, at, "There is no data centre with the name " + name + ".");
                if (!seen.insert(name).second)
                    add(FaultKind::DuplicateName, at, name + " is listed twice.");
            }
        }

        void checkName(std::string_view name, const std::string& place)
        {
            if (name.find_first_not_of(allowedNameCharacters) != std::string_view::npos || name.starts_with('.'))
                add(FaultKind::OutOfRange, place, "A name may contain only letters, digits, '-', '_' and '.', and must not begin with '.'.");
        }

        // Two services overlap when they have the same port and the same IPv4 address, or when one of them has the wildcard
        // address 0.0.0.0. Packets would then reach the service that a balancer finds first, and so the wrong upstream.
        void checkAddress(const ServiceConfig& service, const std::string& place)
        {
            if (service.address == 0) {
                add(FaultKind::BadAddress, place, "Not an IPv4 address with a port other than 0, such as 10.0.0.1:443.");
                return;
            }
            const std::uint64_t port = service.address & portMask;
            const std::uint64_t ipv4Address = service.address >> portBits;
            auto& addressesOnPort = m_addressesByPort[port];
            const auto other = ipv4Address == 0 ? addressesOnPort.begin() : addressesOnPort.find(ipv4Address);
            const auto wildcard = addressesOnPort.find(0);
            if (other != addressesOnPort.end())
                add(FaultKind::OverlappingAddress, place, "The address is already used by service " + other->second + ".");
            else if (wildcard != addressesOnPort.end())
                add(FaultKind::OverlappingAddress, place, "Service " + wildcard->second + " already uses this port on all addresses (0.0.0.0).");
            addressesOnPort.emplace(ipv4Address, service.name);
        }

        void add(FaultKind kind, std::string place, std::string detail)
        {
            m_faults.push_back({ .kind = kind, .place = std::move(place), .detail = std::move(detail) });
        }

        const Config& m_config;
        std::vector<Fault>& m_faults;
        std::set<std::string_view> m_dataCentres;
        std::set<std::string_view> m_services;
        /// Maps port and IPv4 address to the name of the first service that has them.
        std::map<std::uint64_t, std::map<std::uint64_t, std::string>> m_addressesByPort;
    };

    template <typename Named>
    void sortByName(std::vector<Named>& items)
    {
        std::sort(items.begin(), items.end(), [](const Named& a, const Named& b) { return a.name < b.name; });
    }

}

const ServiceConfig* Config::findService(std::string_view name) const
{
    const auto found = std::find_if(services.begin(), services.end(), [name](const ServiceConfig& service) { return service.name == name; });
    return found == services.end() ? nullptr : &*found;
}

const ServiceConfig* Config::findAddress(ServiceAddress address) const
{
    const auto found = std::find_if(services.begin(), services.end(),
        [address](const ServiceConfig& service) { return service.address == address; });
    return found == services.end() ? nullptr : &*found;
}

bool Config::isOut(std::string_view dataCentre) const
{
    return std::any_of(dataCentres.begin(), dataCentres.end(),
        [dataCentre](const DataCentreConfig& known) { return known.out && known.name == dataCentre; });
}

std::optional<Config> parseConfig(std::string_view json, std::vector<Fault>& faults)
{
    const std::size_t faultsBefore = faults.size();
    const auto document = parseChecked(json, configSchema, faults);
    if (!document)
        return std::nullopt;
    Config config = configFromJson(*document);
    ConfigValidator(config, faults).run();
    if (faults.size() > faultsBefore)
        return std::nullopt;
    return config;
}

std::string toJson(const Config& config)
{
    json services = json::array();
    for (const ServiceConfig& service : config.services)
        services.push_back(serviceToJson(service));
    json dataCentres = json::array();
    for (const DataCentreConfig& dataCentre : config.dataCentres)
        dataCentres.push_back({ { "name", dataCentre.name }, { "out", dataCentre.out } });
    return json { { "version", config.version }, { "services", services }, { "dataCentres", dataCentres } }.dump();
}

Config normalised(Config config)
{
    sortByName(config.services);
    sortByName(config.dataCentres);
    for (ServiceConfig& service : config.services)
        std::sort(service.dataCentres.begin(), service.dataCentres.end());
    return config;
}

std::string toJson(const ServiceConfig& service)
{
    return serviceToJson(service).dump();
}

std::optional<ServiceConfig> parseService(std::string_view text)
{
    const json document = parseJson(text);
    if (document.is_discarded())
        return std::nullopt;
    try {
        ServiceConfig service = serviceFromJson(document);
        return service.address == 0 ? std::nullopt : std::optional(std::move(service));
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<ServiceAddress> parseServiceAddress(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    in_addr ipv4Address {};
    if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ipv4Address) != 1)
        return std::nullopt;
    const std::string_view digits = text.substr(colon + 1);
    std::uint64_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size() || port == 0 || port > maxPort)
        return std::nullopt;
    return (std::uint64_t { ntohl(ipv4Address.s_addr) } << portBits) | port;
}

std::string toString(ServiceAddress address)
{
    in_addr ipv4Address { .s_addr = htonl(static_cast<std::uint32_t>(address >> portBits)) };
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &ipv4Address, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(address & portMask);
}

UpstreamId upstreamIdOf(std::string_view name)
{
    const UpstreamId id = XXH3_64bits(name.data(), name.size());
    return id == 0 ? 1 : id;
}

}
