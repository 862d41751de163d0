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
    notifyTargets(watcher);
    notifyConfig(watcher);
}

void ModelStore::announce(std::size_t target, OnAnnounced onAnnounced)
{
    ++m_context.metrics.platformCalls;
    if (!m_isAvailable)
        return;
    TargetRecord& record = m_targets[target];
    record.token = { .upstream = targetId(target), .incarnation = record.token.incarnation + 1 };
    record.announced = true;
    record.draining = false;
    ++record.renewals;
    notifyAllTargets();
    if (isAnswerLost())
        return;
    m_context.loop.after(callTime, [onAnnounced = std::move(onAnnounced), incarnation = record.token.incarnation] { onAnnounced(incarnation); });
}

void ModelStore::setDraining(std::size_t target, bool draining)
{
    ++m_context.metrics.platformCalls;
    if (!m_isAvailable || m_targets[target].draining == draining)
        return;
    m_targets[target].draining = draining;
    notifyAllTargets();
}

void ModelStore::renew(std::size_t target, const OwnerToken& token)
{
    ++m_context.metrics.platformCalls;
    if (m_isAvailable && m_targets[target].token == token)
        ++m_targets[target].renewals;
}

void ModelStore::withdraw(std::size_t target)
{
    ++m_context.metrics.platformCalls;
    if (!m_isAvailable)
        return;
    m_targets[target].announced = false;
    notifyAllTargets();
}

void ModelStore::apply(ConfigVersion baseVersion, std::size_t dataCentre, bool out, OnApplied onApplied)
{
    ++m_context.metrics.platformCalls;
    const auto answer = [this, &onApplied](ApplyResult result) {
        m_context.loop.after(callTime, [onApplied, result] { onApplied(result); });
    };
    if (!m_isAvailable)
        return answer(ApplyResult::Unreachable);
    if (baseVersion != m_config.version)
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
        notifyConfig(watcher);
    answer(isAnswerLost() ? ApplyResult::NoAnswer : ApplyResult::Accepted);
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

void ModelStore::notifyAllTargets()
{
    for (std::size_t watcher = 0; watcher < m_watchers.size(); ++watcher)
        notifyTargets(watcher);
}

void ModelStore::notifyTargets(std::size_t watcher)
{
    ++m_context.metrics.platformCalls;
    const auto notify = [this](const Watcher& entry) { entry.onTargets(m_targets); };
    m_context.loop.after(notificationDelay(watcher), [this, watcher, generation = m_watchers[watcher].generation, notify] { deliver(watcher, generation, notify); });
}

// The notification holds the configuration at the time of this call. If the notification is delayed, the watcher may already
// have a newer configuration from a peer.
void ModelStore::notifyConfig(std::size_t watcher)
{
    ++m_context.metrics.platformCalls;
    const auto notify = [config = m_config](const Watcher& entry) { entry.onConfig(config); };
    m_context.loop.after(notificationDelay(watcher), [this, watcher, generation = m_watchers[watcher].generation, notify] { deliver(watcher, generation, notify); });
}

void ModelStore::deliver(std::size_t watcher, std::uint64_t generation, std::function<void(const Watcher&)> notify)
{
    if (m_watchers[watcher].generation != generation)
        return;
    if (m_isAvailable)
        return notify(m_watchers[watcher]);
    m_context.loop.after(retryInterval, [this, watcher, generation, notify = std::move(notify)] { deliver(watcher, generation, notify); });
}

Micros ModelStore::notificationDelay(std::size_t watcher)
{
    const auto longest = static_cast<double>(toMicros(m_context.experiment.deployment.watchDelay));
    return callTime + static_cast<Micros>(m_context.random.uniform() * longest * m_watchers[watcher].slowness);
}

bool ModelStore::isAnswerLost()
{
    return m_losesAnswers && m_context.random.chance(answerLossShare);
}

}
