// The part of PeerNetwork that fetches views from peers and serves them.

#include "peernetwork.h"

#include <utility>

namespace kingcuptrail {

namespace {

    /// Idle time after which a fetch is cancelled, in milliseconds: the peer does not answer, or stops in the middle. The view
    /// is then fetched from another peer.
    constexpr Millis fetchIdleTimeout = 400;
    /// Time limit of a whole fetch, in milliseconds: enough for the largest configuration over a link of 2 Mbit/s that carries
    /// callers' packets as well. With a limit that a slow link cannot meet, the same bytes would be sent again and again.
    constexpr Millis fetchTimeout = 3000;

}

void PeerNetwork::fetchDirectory(std::uint32_t address)
{
    if (!m_fetch && tryBeginDirectoryFetch(m_fetchLimiter, m_directory.entries.size(), m_clock.now()))
        fetchView(address, { .routes = false, .entries = true });
}

void PeerNetwork::fetchRoutes(std::uint32_t address, ConfigVersion offered)
{
    if (m_fetch) {
        m_newerVersionPeer = address;
        m_newerVersion = offered;
        return;
    }
    if (tryBeginRoutesFetch(m_fetchLimiter, m_view.routes.version, offered, m_clock.now()))
        fetchView(address, { .routes = true, .entries = m_view.routes.version == 0 });
}

void PeerNetwork::fetchView(std::uint32_t address, const ViewParts& parts)
{
    const asio::ip::tcp::endpoint server(asio::ip::address_v4(address), m_settings.listen.port());
    HttpCall::Handlers handlers;
    handlers.onHead = [this](const HttpResponse&) { m_fetchIdleTimer.cancel(); };
    handlers.onDone = [this](const std::optional<HttpResponse>& response, const HttpOutcome&) {
        m_fetchIdleTimer.cancel();
        m_fetch.reset();
        if (!response) {
            m_messageErrors.increment(PeerMessageError::ViewFetchFailed);
            return;
        }
        ++m_traffic.viewsReceived;
        m_traffic.viewBytesReceived += response->body.size();
        FrameError error = FrameError::None;
        const auto view = decodeView(response->body, error);
        if (view)
            updateView(*view);
        else
            m_messageErrors.increment(PeerMessageError::ViewMalformed);
        if (m_newerVersion > m_view.routes.version)
            fetchRoutes(m_newerVersionPeer, std::exchange(m_newerVersion, 0));
    };
    m_fetch = startHttpCall(m_context, server, { .target = std::string("/view?routes=") + (parts.routes ? "1" : "0") + "&entries=" + (parts.entries ? "1" : "0") }, { .connectTimeout = fetchIdleTimeout, .timeout = fetchTimeout, .silenceLimit = fetchIdleTimeout }, std::move(handlers));
    m_fetchIdleTimer.start(fetchIdleTimeout, [this] { abandonFetch(); });
}

// A paused peer still accepts connections but does not answer.
void PeerNetwork::abandonFetch()
{
    if (m_fetch)
        m_fetch->cancel();
    m_fetch.reset();
    m_messageErrors.increment(PeerMessageError::ViewFetchFailed);
}

void PeerNetwork::updateView(const DeploymentView& view)
{
    m_lastGossipAt = m_clock.now();
    updateRoutes(view.routes);
    addFormerLimits(m_idleLimits, view.formerIdleLimits, m_clock.now());
    updateOutages(view.outages);
    updateEntries(view.entries);
}

void PeerNetwork::serveView(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
{
    const ViewParts parts { .routes = queryValue(request.target, "routes") != "0", .entries = queryValue(request.target, "entries") != "0" };
    std::string body = encodeView(view(), parts);
    ++m_traffic.viewsSent;
    m_traffic.viewBytesSent += body.size();
    responder->respond({ .headers = { { "Content-Type", "application/octet-stream" } }, .body = std::move(body) });
}

}
