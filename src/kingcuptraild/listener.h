#pragma once

#include "libprotocol/link.h"
#include "libruntime/supervisor.h"

#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace kingcuptrail {

/// Accepts links at an address. Fails when the address cannot be bound, so that its supervisor restarts it.
class Listener : public Supervised {
public:
    using OnLink = std::function<void(std::shared_ptr<Link>)>;

    Listener(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint, const LinkOptions& options, OnLink onLink, const FailureHandler& onFailure);
    ~Listener() override;

    /// The port that is listened on; 0 when the address could not be bound.
    std::uint16_t localPort() const;

    /// The bound port, chosen by the host when the settings say 0; nothing when binding failed.
    std::optional<std::uint16_t> port() const;

private:
    struct Private;

    std::shared_ptr<Private> m_private;
};

}
