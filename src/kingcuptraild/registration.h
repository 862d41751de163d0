#pragma once

#include "rolecontext.h"

#include <asio/steady_timer.hpp>

namespace kingcuptrail {

/// Writes this daemon's object of kind `daemon` to the platform, so that operators' tools find its administration
/// endpoint. Retries until the object is written; nothing else in the daemon waits for it.
class Registration : public Supervised {
public:
    explicit Registration(const RoleContext& role);
    ~Registration() override;

private:
    void read();
    void write(ObjectVersion held);
    void retryLater();
    std::string document() const;

    const RoleContext& m_role;
    PlatformClient m_client;
    asio::steady_timer m_timer;
};

}
