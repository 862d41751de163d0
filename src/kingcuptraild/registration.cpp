#include "registration.h"

#include <nlohmann/json.hpp>

namespace kingcuptrail {

namespace {

    constexpr const char* daemonKind = "daemon";

    /// Wait between attempts, in milliseconds. At this interval 5,000 daemons send 1,000 requests a second to a platform
    /// that is down or has just recovered, half of its capacity.
    constexpr Millis retryInterval = 5000;

}

Registration::Registration(const RoleContext& role)
    : m_role(role)
    , m_client(role.context, role.platform)
    , m_timer(role.context)
{
    read();
}

Registration::~Registration()
{
    m_client.cancelAll();
}

void Registration::read()
{
    m_client.get(daemonKind, m_role.settings.name, [this](const std::optional<PlatformObject>& object, PlatformError error) {
        if (!object && error != PlatformError::NotFound)
            retryLater();
        else if (!object || object->value != document())
            write(object ? object->version : 0);
    });
}

void Registration::write(ObjectVersion held)
{
    m_client.put(daemonKind, m_role.settings.name, document(), held, [this](std::optional<ObjectVersion> version, PlatformError) {
        if (!version)
            retryLater();
    });
}

void Registration::retryLater()
{
    m_timer.expires_after(std::chrono::milliseconds(retryInterval));
    m_timer.async_wait([this](asio::error_code error) {
        if (!error)
            read();
    });
}

std::string Registration::document() const
{
    const Settings& settings = m_role.settings;
    const nlohmann::json document {
        { "name", settings.name },
        { "role", nameOf(settings.role) },
        { "dataCentre", settings.dataCentre },
        { "admin", settings.admin.address().to_string() + ":" + std::to_string(settings.admin.port()) },
    };
    return document.dump();
}

}
