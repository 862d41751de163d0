#pragma once

#include "kingcuptraild/rolecontext.h"
#include "libdecision/admission.h"
#include "libhttp/httpclient.h"

#include <asio/steady_timer.hpp>
#include <functional>

namespace kingcuptrail {

/// Polls the health and load endpoints of the upstream about once a second. Their answers may be late or wrong, so admission
/// uses them only as a hint.
class UpstreamProbe : public Supervised {
public:
    struct Handlers {
        std::function<void(const UpstreamHint&)> onHint;
        /// Reports whether the upstream accepted a connection. This is the only part of a probe that the agent observes itself.
        std::function<void(bool isConnected)> onConnectAttempt;
    };

    UpstreamProbe(const RoleContext& role, Handlers handlers);
    ~UpstreamProbe() override;

private:
    void schedule(Millis pause);
    void requestHealth();
    void handleHealth(bool isHealthy, bool isConnected);
    void requestLoad(bool isHealthy);
    void report(bool isHealthy, std::uint32_t busy);

    const RoleContext& m_role;
    Handlers m_handlers;
    asio::steady_timer m_timer;
    std::shared_ptr<HttpCall> m_call;
    bool m_wasHealthy = true;
};

}
