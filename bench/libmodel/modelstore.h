#pragma once

#include "message.h"
#include "modelcontext.h"

#include <functional>
#include <vector>

namespace kingcuptrail {

/// The store's record of one target.
struct TargetRecord {
    OwnerToken token;
    bool announced = false;
    bool draining = false;
    std::uint64_t renewals = 0;
};

/// The result of an operator's conditional write.
enum class ApplyResult : std::uint8_t {
    Accepted,
    Conflict,
    /// The write may or may not have taken effect.
    NoAnswer,
    Unreachable,
};

/// A model of the platform's object API: announcements, leases and one configuration, with outages, slow watches and
/// responses that are lost after the write took effect.
class ModelStore {
public:
    using OnTargets = std::function<void(const std::vector<TargetRecord>&)>;
    using OnConfig = std::function<void(const ConfigMessage&)>;
    using OnAnnounced = std::function<void(Incarnation)>;
    using OnApplied = std::function<void(ApplyResult)>;

    explicit ModelStore(ModelContext& context);

    /// Adds a watcher, which receives the current state first and then all changes. It replaces a watcher with the same index.
    void watch(std::size_t watcher, OnTargets onTargets, OnConfig onConfig);

    /// Announces a target under the next incarnation. There is no answer while the store is down.
    void announce(std::size_t target, OnAnnounced onAnnounced);
    void setDraining(std::size_t target, bool draining);
    void renew(std::size_t target, const OwnerToken& token);
    void withdraw(std::size_t target);

    /// Takes a data centre out of service or returns it, if the current version of the configuration is `baseVersion`.
    void apply(ConfigVersion baseVersion, std::size_t dataCentre, bool out, OnApplied onApplied);

    /// Sets the initial records of all targets before the run.
    void seed(std::vector<TargetRecord> targets);

    const ConfigMessage& config() const { return m_config; }
    const std::vector<TargetRecord>& targets() const { return m_targets; }
    bool isAvailable() const { return m_isAvailable; }

    void setAvailable(bool up) { m_isAvailable = up; }
    void setLosesAnswers(bool loses) { m_losesAnswers = loses; }
    /// Multiplies the watch delay of one watcher.
    void setSlowness(std::size_t watcher, double factor);

private:
    struct Watcher {
        OnTargets onTargets;
        OnConfig onConfig;
        double slowness = 1;
        std::uint64_t generation = 0;
    };

    void notifyTargets(std::size_t watcher);
    void notifyConfig(std::size_t watcher);
    void notifyAllTargets();
    void deliver(std::size_t watcher, std::uint64_t generation, std::function<void(const Watcher&)> notify);
    Micros notificationDelay(std::size_t watcher);
    bool isAnswerLost();

    ModelContext& m_context;
    std::vector<TargetRecord> m_targets;
    ConfigMessage m_config;
    std::vector<Watcher> m_watchers;
    bool m_isAvailable = true;
    bool m_losesAnswers = false;
};

}
