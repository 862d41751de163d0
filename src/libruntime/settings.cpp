#include "settings.h"

#include "libdecision/upstreamevidence.h"
#include "libplatform/schemacheck.h"
#include "settingsschema.h"

#include <asio/ip/address.hpp>
#include <charconv>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    using nlohmann::json;

    /// Far more than any settings file needs. Prevents parsing a large file that was named by mistake.
    constexpr std::size_t maxSettingsBytes = std::size_t { 64 } * 1024;
    /// A link is closed only after at least two heartbeats are missing, since one may be late on a busy host.
    constexpr Millis heartbeatsInSilence = 2;
    /// A field of packets that an environment variable sets where the file does not. A fleet that is upgraded host by host may
    /// share one settings file with processes of an earlier version, which refuse a field that they do not know.
    template <typename Number>
    struct EnvironmentNumber {
        const char* field;
        const char* variable;
        Number min;
        Number max;
    };
    constexpr EnvironmentNumber<std::uint64_t> toleratedLosses { .field = "toleratedDataCentreLosses", .variable = "KINGCUPTRAIL_TOLERATED_LOSSES", .min = 0, .max = 16 };
    constexpr EnvironmentNumber<std::uint64_t> reportInterval { .field = "reportIntervalMs", .variable = "KINGCUPTRAIL_REPORT_INTERVAL_MS", .min = 10, .max = 600000 };
    constexpr EnvironmentNumber<double> flowLifetime { .field = "flowLifetimeSeconds", .variable = "KINGCUPTRAIL_FLOW_LIFETIME_S", .min = 0, .max = 31536000 };

    enum class PortRule : std::uint8_t {
        /// 0 lets the operating system choose a port; used by tests.
        MayBeZero,
        MustBeSet,
    };

    class SettingsReader {
    public:
        SettingsReader(const json& document, std::vector<Fault>& faults)
            : m_document(document)
            , m_faults(faults)
        {
        }

        Settings read()
        {
            Settings settings;
            settings.role = fromName<DaemonRole>(m_document["role"].get<std::string>()).value_or(DaemonRole::Balancer);
            readText(m_document, "name", settings.name);
            readText(m_document, "dataCentre", settings.dataCentre);
            readText(m_document, "logLevel", settings.logLevel);
            readMillis(m_document, "heartbeatMs", settings.heartbeat);
            readMillis(m_document, "linkSilenceMs", settings.linkSilence);
            if (m_document.contains("logFormat"))
                settings.logFormat = fromName<LogFormat>(m_document["logFormat"].get<std::string>()).value_or(LogFormat::Text);
            settings.listen = readEndpoint(m_document, "", "listen", PortRule::MayBeZero);
            settings.admin = readEndpoint(m_document, "", "admin", PortRule::MayBeZero);
            settings.platform = readEndpoint(m_document, "", "platform", PortRule::MustBeSet);
            if (m_document.contains("agent"))
                settings.agent = readAgent(m_document["agent"]);
            if (m_document.contains("packets"))
                settings.packets = readPackets(m_document["packets"]);
            crossCheck(settings);
            crossCheckPackets(settings);
            return settings;
        }

    private:
        void addFault(FaultKind kind, std::string place, std::string detail)
        {
            m_faults.push_back({ .kind = kind, .place = std::move(place), .detail = std::move(detail) });
        }

        static void readText(const json& object, const char* field, std::string& target)
        {
            if (object.contains(field))
                target = object[field].get<std::string>();
        }

        static void readMillis(const json& object, const char* field, Millis& target)
        {
            if (object.contains(field))
                target = object[field].get<Millis>();
        }

        static void readSeconds(const json& object, const char* field, Millis& target)
        {
            constexpr double millisPerSecond = 1000;
            if (object.contains(field))
                target = static_cast<Millis>(object[field].get<double>() * millisPerSecond);
        }

        asio::ip::tcp::endpoint readEndpoint(const json& object, const std::string& parent, const char* field, PortRule rule)
        {
            const std::string place = parent + "/" + field;
            const auto endpoint = parseEndpoint(object[field].get<std::string>());
            if (!endpoint) {
                addFault(FaultKind::BadAddress, place, "Must be an IP address and a port, such as 127.0.0.1:80.");
                return {};
            }
            if (endpoint->port() == 0 && rule == PortRule::MustBeSet)
                addFault(FaultKind::BadAddress, place, "The port must not be 0.");
            return *endpoint;
        }

        AgentSettings readAgent(const json& object)
        {
            AgentSettings agent;
            readText(object, "upstreamName", agent.upstreamName);
            readText(object, "service", agent.service);
            readText(object, "healthPath", agent.healthPath);
            readText(object, "loadPath", agent.loadPath);
            readMillis(object, "leaseMs", agent.lease);
            readMillis(object, "drainIdleMs", agent.drainIdle);
            readMillis(object, "drainLimitMs", agent.drainLimit);
            readMillis(object, "flowSilenceMs", agent.flowSilence);
            agent.upstream = readEndpoint(object, "/agent", "upstream", PortRule::MustBeSet);
            if (object.contains("announce"))
                agent.announce = readEndpoint(object, "/agent", "announce", PortRule::MustBeSet);
            return agent;
        }

        /// The number in the object, or that of the environment; `fallback` when neither is set, the latter is empty or invalid.
        template <typename Number>
        Number readNumber(const json& object, const EnvironmentNumber<Number>& source, Number fallback)
        {
            if (object.contains(source.field))
                return object[source.field].template get<Number>();
            // A deployment without a value fills its template with nothing.
            const char* value = std::getenv(source.variable);
            const std::string_view text = value ? value : "";
            if (text.empty())
                return fallback;
            Number number = 0;
            const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
            const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
            if (isNumber && number >= source.min && number <= source.max)
                return number;
            addFault(FaultKind::OutOfRange, childPointer("/packets", source.field), std::string(source.variable) + " must be a number from " + std::to_string(static_cast<std::uint64_t>(source.min)) + " to " + std::to_string(static_cast<std::uint64_t>(source.max)) + ".");
            return fallback;
        }

        PacketSettings readPackets(const json& object)
        {
            PacketSettings packets;
            readSeconds(object, "addressReuseSeconds", packets.addressReuse);
            readSeconds(object, "leaveSeconds", packets.leave);
            if (object.contains("linkMegabits"))
                packets.linkMegabits = object["linkMegabits"].get<double>();
            packets.toleratedDataCentreLosses = readNumber(object, toleratedLosses, static_cast<std::uint64_t>(packets.toleratedDataCentreLosses));
            constexpr double millisPerSecond = 1000;
            packets.flowLifetime = static_cast<Millis>(readNumber(object, flowLifetime, 0.0) * millisPerSecond);
            packets.reportInterval = static_cast<Millis>(readNumber(object, reportInterval, static_cast<std::uint64_t>(packets.reportInterval)));
            packets.ready = readEndpoint(object, "/packets", "ready", PortRule::MayBeZero);
            packets.ingress = readEndpoint(object, "/packets", "ingress", PortRule::MustBeSet);
            readOptionalEndpoint(object, "upstream", packets.upstream);
            readOptionalEndpoint(object, "outbound", packets.outbound);
            readOptionalEndpoint(object, "control", packets.control);
            if (object.contains("seeds"))
                readSeeds(object["seeds"], packets.seeds);
            return packets;
        }

        void readOptionalEndpoint(const json& object, const char* field, asio::ip::tcp::endpoint& target)
        {
            if (object.contains(field))
                target = readEndpoint(object, "/packets", field, PortRule::MayBeZero);
        }

        void readSeeds(const json& list, std::vector<asio::ip::tcp::endpoint>& seeds)
        {
            for (std::size_t index = 0; index < list.size(); ++index) {
                if (const auto seed = parseEndpoint(list[index].get<std::string>()))
                    seeds.push_back(*seed);
                else
                    addFault(FaultKind::BadAddress, childPointer("/packets/seeds", index), "Must be an IP address and a port, such as 127.0.0.1:80.");
            }
        }

        void crossCheckPackets(const Settings& settings)
        {
            const bool hasPackets = m_document.contains("packets");
            const bool needsPackets = settings.role == DaemonRole::PacketBalancer || settings.role == DaemonRole::PacketAgent;
            if (hasPackets != needsPackets) {
                addFault(hasPackets ? FaultKind::Inconsistent : FaultKind::MissingField, "/packets", "Required for the roles packetBalancer and packetAgent; not allowed for other roles.");
                return;
            }
            if (!hasPackets)
                return;
            if (settings.role == DaemonRole::PacketBalancer)
                return;
            for (const char* field : { "upstream", "outbound", "control" })
                requirePacketField(field);
            if (!canBridgeReports(settings.packets.addressReuse, settings.packets.reportInterval))
                addFault(FaultKind::Inconsistent, "/packets/addressReuseSeconds", "Too short for upstreams that report only each reportIntervalMs: must be at least 1 s, or a tenth of a second longer than one and a half such intervals.");
        }

        void requirePacketField(const char* field)
        {
            if (!m_document["packets"].contains(field))
                addFault(FaultKind::MissingField, childPointer("/packets", field), "Required for the role packetAgent.");
        }

        void crossCheck(const Settings& settings)
        {
            const bool hasAgent = m_document.contains("agent");
            if (settings.role == DaemonRole::Agent && !hasAgent)
                addFault(FaultKind::MissingField, "/agent", "Required for the role agent.");
            if (settings.role != DaemonRole::Agent && hasAgent)
                addFault(FaultKind::Inconsistent, "/agent", "Only allowed for the role agent.");
            if (settings.linkSilence <= heartbeatsInSilence * settings.heartbeat)
                addFault(FaultKind::Inconsistent, "/linkSilenceMs", "Must be larger than twice heartbeatMs.");
            checkOverlap("/admin", settings.admin, "/listen", settings.listen);
            checkOverlap("/platform", settings.platform, "/listen", settings.listen);
            checkOverlap("/platform", settings.platform, "/admin", settings.admin);
            if (!hasAgent)
                return;
            checkOverlap("/agent/upstream", settings.agent.upstream, "/listen", settings.listen);
            checkOverlap("/agent/upstream", settings.agent.upstream, "/admin", settings.admin);
            if (settings.agent.announce)
                checkOverlap("/agent/announce", *settings.agent.announce, "/agent/upstream", settings.agent.upstream);
            if (settings.agent.drainIdle > settings.agent.drainLimit)
                addFault(FaultKind::Inconsistent, "/agent/drainIdleMs", "Must not be larger than drainLimitMs.");
        }

        void checkOverlap(std::string place, const asio::ip::tcp::endpoint& one, const std::string& otherPlace, const asio::ip::tcp::endpoint& other)
        {
            if (one.port() != 0 && one == other)
                addFault(FaultKind::OverlappingAddress, std::move(place), "Same address as " + otherPlace + ".");
        }

        const json& m_document;
        std::vector<Fault>& m_faults;
    };

}

std::optional<Settings> parseSettings(std::string_view text, std::vector<Fault>& faults)
{
    if (text.size() > maxSettingsBytes) {
        faults.push_back({ .kind = FaultKind::OutOfRange, .place = "", .detail = "The file is larger than 64 KiB." });
        return std::nullopt;
    }
    std::vector<Fault> found;
    std::optional<Settings> settings;
    // The cross-checks read the fields and rely on the types checked by the schema.
    if (const auto document = parseChecked(text, settingsSchema(), found))
        settings = SettingsReader(*document, found).read();
    if (found.empty())
        return settings;
    faults.insert(faults.end(), found.begin(), found.end());
    return std::nullopt;
}

std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (portText.empty() || parsed.ec != std::errc() || parsed.ptr != portText.data() + portText.size())
        return std::nullopt;
    asio::error_code error;
    const auto address = asio::ip::make_address(std::string(host), error);
    if (error || address.is_v6() != isBracketed)
        return std::nullopt;
    return asio::ip::tcp::endpoint(address, port);
}

}
