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
    using OnHint = std::function<void(const UpstreamHint&)>;

    UpstreamProbe(const RoleContext& role, OnHint onHint);
    ~UpstreamProbe() override;

private:
    void schedule();
    void askHealth();
    void askLoad(bool healthy);
    void report(bool healthy, std::uint32_t busy);

    const RoleContext& m_role;
    OnHint m_onHint;
    asio::steady_timer m_timer;
    std::shared_ptr<HttpCall> m_call;
    bool m_wasHealthy = true;
};

}
