#include "modelstore.h"

namespace kingcuptrail {

namespace {

    /// Duration of one call, and the interval at which delivery to a watcher is retried while the store is down.
    constexpr Micros callTime = 3 * microsPerMilli;
    constexpr Micros retryInterval = 200 * microsPerMilli;
    constexpr double answerLossShare = 0.5;

}

ModelStore::ModelStore(ModelContext& context)
    : m_context(context)
    , m_targets(targetCount(context.experiment.deployment))
{
    m_config = { .version = 1, .dataCentreOut = std::vector<bool>(context.experiment.deployment.dataCentres.size()) };
}

void ModelStore::watch(std::size_t watcher, OnTargets onTargets, OnConfig onConfig)
{
    if (watcher >= m_watchers.size())
        m_watchers.resize(watcher + 1);
    Watcher& entry = m_watchers[watcher];
    ++entry.generation;
    entry.onTargets = std::move(onTargets);
    entry.onConfig = std::move(onConfig);
    tellTargets(watcher);
    tellConfig(watcher);
}

void ModelStore::announce(std::size_t target, OnAnnounced onAnnounced)
{
    ++m_context.metrics.platformCalls;
    if (!m_isUp)
        return;
    TargetRecord& record = m_targets[target];
    record.token = { .upstream = targetId(target), .incarnation = record.token.incarnation + 1 };
    record.announced = true;
    record.draining = false;
    ++record.renewals;
    tellAllTargets();
    if (losesThisAnswer())
        return;
    m_context.loop.after(callTime, [onAnnounced = std::move(onAnnounced), incarnation = record.token.incarnation] { onAnnounced(incarnation); });
}

void ModelStore::setDraining(std::size_t target, bool draining)
{
    ++m_context.metrics.platformCalls;
    if (!m_isUp || m_targets[target].draining == draining)
        return;
    m_targets[target].draining = draining;
    tellAllTargets();
}

void ModelStore::renew(std::size_t target, const OwnerToken& token)
{
    ++m_context.metrics.platformCalls;
    if (m_isUp && m_targets[target].token == token)
        ++m_targets[target].renewals;
}

void ModelStore::withdraw(std::size_t target)
{
    ++m_context.metrics.platformCalls;
    if (!m_isUp)
        return;
    m_targets[target].announced = false;
    tellAllTargets();
}

void ModelStore::apply(ConfigVersion basedOn, std::size_t dataCentre, bool out, OnApplied onApplied)
{
    ++m_context.metrics.platformCalls;
    const auto answer = [this, &onApplied](ApplyResult result) {
        m_context.loop.after(callTime, [onApplied, result] { onApplied(result); });
    };
    if (!m_isUp)
        return answer(ApplyResult::Unreachable);
    if (basedOn != m_config.version)
        return answer(ApplyResult::Conflict);
    ++m_config.version;
    m_config.dataCentreOut[dataCentre] = out;
    m_context.history.record([&] {
        return HistoryEvent {
            .kind = out ? HistoryKind::OperatorTookOut : HistoryKind::OperatorBroughtBack,
            .dataCentre = m_context.experiment.deployment.dataCentres[dataCentre],
            .version = m_config.version,
        };
    });
    for (std::size_t watcher = 0; watcher < m_watchers.size(); ++watcher)
        tellConfig(watcher);
    answer(losesThisAnswer() ? ApplyResult::NoAnswer : ApplyResult::Accepted);
}

void ModelStore::seed(std::vector<TargetRecord> targets)
{
    m_targets = std::move(targets);
}

void ModelStore::setSlowness(std::size_t watcher, double factor)
{
    if (watcher < m_watchers.size())
        m_watchers[watcher].slowness = factor;
}

void ModelStore::tellAllTargets()
{
    for (std::size_t watcher = 0; watcher < m_watchers.size(); ++watcher)
        tellTargets(watcher);
}

void ModelStore::tellTargets(std::size_t watcher)
{
    ++m_context.metrics.platformCalls;
    const auto news = [this](const Watcher& entry) { entry.onTargets(m_targets); };
    m_context.loop.after(newsDelay(watcher), [this, watcher, generation = m_watchers[watcher].generation, news] { deliver(watcher, generation, news); });
}

// The notification holds the configuration of this moment. A slow one may arrive after a newer configuration from a peer.
void ModelStore::tellConfig(std::size_t watcher)
{
    ++m_context.metrics.platformCalls;
    const auto news = [config = m_config](const Watcher& entry) { entry.onConfig(config); };
    m_context.loop.after(newsDelay(watcher), [this, watcher, generation = m_watchers[watcher].generation, news] { deliver(watcher, generation, news); });
}

void ModelStore::deliver(std::size_t watcher, std::uint64_t generation, std::function<void(const Watcher&)> news)
{
    if (m_watchers[watcher].generation != generation)
        return;
    if (m_isUp)
        return news(m_watchers[watcher]);
    m_context.loop.after(retryInterval, [this, watcher, generation, news = std::move(news)] { deliver(watcher, generation, news); });
}

Micros ModelStore::newsDelay(std::size_t watcher)
{
    const auto longest = static_cast<double>(toMicros(m_context.experiment.deployment.watchDelay));
    return callTime + static_cast<Micros>(m_context.random.uniform() * longest * m_watchers[watcher].slowness);
}

bool ModelStore::losesThisAnswer()
{
    return m_losesAnswers && m_context.random.chance(answerLossShare);
}

}
