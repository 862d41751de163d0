#pragma once

#include "kingcuptraild/rolecontext.h"
#include "libdecision/admission.h"
#include "libhttp/httpclient.h"

#include <asio/steady_timer.hpp>
#include <functional>

namespace kingcuptrail {

/// Asks the upstream's own health and load endpoints about once a second. Both lag or mislead, so what they say is a
/// hint for admission and never a verdict.
class UpstreamProbe : public Supervised {
public:
    struct Handlers {
        std::function<void(const UpstreamHint&)> onHint;
        /// Whether the upstream accepted a connection. The only part of a probe that is measured and not told.
        std::function<void(bool isConnected)> onContact;
    };

    UpstreamProbe(const RoleContext& role, Handlers handlers);
    ~UpstreamProbe() override;

private:
    void schedule(Millis pause);
    void askHealth();
    void handleHealth(bool isHealthy, bool isConnected);
    void askLoad(bool isHealthy);
    void report(bool isHealthy, std::uint32_t busy);

    const RoleContext& m_role;
    Handlers m_handlers;
    asio::steady_timer m_timer;
    std::shared_ptr<HttpCall> m_call;
    bool m_wasHealthy = true;
};

}
