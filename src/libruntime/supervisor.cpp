#include "supervisor.h"

#include "clock.h"
#include "events.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <random>

namespace kingcuptrail {

namespace {

    struct Child {
        Child(asio::io_context& context, ChildSpec childSpec)
            : spec(std::move(childSpec))
            , timer(context)
        {
        }

        ChildSpec spec;
        asio::steady_timer timer;
        std::unique_ptr<Supervised> running;
        /// Identifies the current start of the child; 0 while it does not run. Failure reports of an earlier start or of a
        /// removed child do not match and are ignored.
        std::uint64_t start = 0;
        Millis startedAt = 0;
        Millis nextDelay = 0;
        std::deque<Millis> failures;
        unsigned restarts = 0;
        ChildFailure lastReason = ChildFailure::None;
    };

}

struct Supervisor::Private : std::enable_shared_from_this<Supervisor::Private> {
    Private(asio::io_context& ioContext, std::string supervisorName, FailureHandler giveUpHandler)
        : context(ioContext)
        , name(std::move(supervisorName))
        , onGiveUp(std::move(giveUpHandler))
        , random(std::random_device()())
    {
    }

    Child* find(const std::string& childName) const;
    Child* findByStart(std::uint64_t start) const;
    void start(Child& child);
    FailureHandler failureHandler(std::uint64_t start);
    void handleFailure(std::uint64_t start, ChildFailure reason);
    bool hasTooManyFailures(Child& child, Millis now) const;
    void giveUp(const Child& child);
    void scheduleRestart(Child& child, Millis now);
    Millis jittered(Millis delay, double jitter);
    void destroyLater(std::unique_ptr<Supervised> ended);
    void appendStatus(const std::string& prefix, std::vector<ChildStatus>& out) const;
    void stop();

    asio::io_context& context;
    std::string name;
    FailureHandler onGiveUp;
    Clock clock;
    std::mt19937 random;
    std::vector<std::unique_ptr<Child>> children;
    /// Ended children, which may still be on the call stack and are destroyed later.
    std::vector<std::unique_ptr<Supervised>> ended;
    std::uint64_t lastStart = 0;
    bool gaveUp = false;
};

Child* Supervisor::Private::find(const std::string& childName) const
{
    const auto found = std::ranges::find_if(children, [&](const auto& child) { return child->spec.name == childName; });
    return found == children.end() ? nullptr : found->get();
}

Child* Supervisor::Private::findByStart(std::uint64_t start) const
{
    const auto found = std::ranges::find_if(children, [&](const auto& child) { return child->start == start; });
    return found == children.end() ? nullptr : found->get();
}

void Supervisor::Private::start(Child& child)
{
    child.start = ++lastStart;
    child.startedAt = clock.now();
    const std::uint64_t start = child.start;
    // Copied, since the factory may remove the child and its specification.
    const auto make = child.spec.make;
    auto made = make(failureHandler(start));
    if (!made) {
        failureHandler(start)(ChildFailure::Internal);
        return;
    }
    if (Child* stillThere = findByStart(start))
        stillThere->running = std::move(made);
    else
        destroyLater(std::move(made));
}

FailureHandler Supervisor::Private::failureHandler(std::uint64_t start)
{
    // The failure is handled later, since the child that reports it must not be destroyed while its code is running.
    return [weak = weak_from_this(), start](ChildFailure reason) {
        const auto self = weak.lock();
        if (!self)
            return;
        asio::post(self->context, [weak, start, reason] {
            if (const auto alive = weak.lock())
                alive->handleFailure(start, reason);
        });
    };
}

void Supervisor::Private::handleFailure(std::uint64_t start, ChildFailure reason)
{
    Child* child = findByStart(start);
    if (!child)
        return;
    const Millis now = clock.now();
    child->start = 0;
    child->lastReason = reason;
    child->failures.push_back(now);
    destroyLater(std::move(child->running));
    if (hasTooManyFailures(*child, now) && onGiveUp)
        giveUp(*child);
    else
        scheduleRestart(*child, now);
}

bool Supervisor::Private::hasTooManyFailures(Child& child, Millis now) const
{
    const RestartPolicy& policy = child.spec.policy;
    while (!child.failures.empty() && now - child.failures.front() > policy.window)
        child.failures.pop_front();
    if (policy.maxFailures == 0) {
        child.failures.clear();
        return false;
    }
    return child.failures.size() >= policy.maxFailures;
}

void Supervisor::Private::giveUp(const Child& child)
{
    if (gaveUp)
        return;
    gaveUp = true;
    logEvent(Event::ChildGaveUp, { { "child", name + "/" + child.spec.name }, { "reason", nameOf(child.lastReason) } });
    onGiveUp(ChildFailure::ChildGaveUp);
}

void Supervisor::Private::scheduleRestart(Child& child, Millis now)
{
    const RestartPolicy& policy = child.spec.policy;
    const bool wasStable = now - child.startedAt >= policy.stableAfter;
    if (wasStable || child.nextDelay == 0)
        child.nextDelay = std::max<Millis>(policy.firstDelay, 1);
    const Millis delay = jittered(child.nextDelay, policy.jitter);
    child.nextDelay = std::min(child.nextDelay * 2, std::max(policy.maxDelay, policy.firstDelay));
    logEvent(Event::ChildRestarted, { { "child", name + "/" + child.spec.name }, { "reason", nameOf(child.lastReason) }, { "delayMs", static_cast<std::uint64_t>(delay) } });
    child.timer.expires_after(std::chrono::milliseconds(delay));
    child.timer.async_wait([weak = weak_from_this(), childName = child.spec.name](asio::error_code error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        Child* waiting = self->find(childName);
        if (!waiting || waiting->start != 0)
            return;
        ++waiting->restarts;
        self->start(*waiting);
    });
}

Millis Supervisor::Private::jittered(Millis delay, double jitter)
{
    std::uniform_real_distribution<double> part(0, 1);
    const double randomPart = std::clamp(jitter, 0.0, 1.0) * part(random);
    return static_cast<Millis>(static_cast<double>(delay) * (1 - randomPart));
}

void Supervisor::Private::destroyLater(std::unique_ptr<Supervised> child)
{
    if (!child)
        return;
    ended.push_back(std::move(child));
    asio::post(context, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        const auto toDestroy = std::move(self->ended);
        self->ended.clear();
    });
}

void Supervisor::Private::appendStatus(const std::string& prefix, std::vector<ChildStatus>& out) const
{
    for (const auto& child : children) {
        const std::string path = prefix + "/" + child->spec.name;
        out.push_back({ .path = path, .isRunning = child->running != nullptr, .restarts = child->restarts, .lastReason = child->lastReason });
        if (const auto* nested = dynamic_cast<const Supervisor*>(child->running.get()))
            nested->m_d->appendStatus(path, out);
    }
}

void Supervisor::Private::stop()
{
    onGiveUp = nullptr;
    while (!children.empty()) {
        const auto last = std::move(children.back());
        children.pop_back();
    }
    ended.clear();
}

Supervisor::Supervisor(asio::io_context& context, std::string name, FailureHandler onGiveUp)
    : m_d(std::make_shared<Private>(context, std::move(name), std::move(onGiveUp)))
{
}

Supervisor::~Supervisor()
{
    m_d->stop();
}

void Supervisor::add(ChildSpec spec)
{
    remove(spec.name);
    m_d->children.push_back(std::make_unique<Child>(m_d->context, std::move(spec)));
    m_d->start(*m_d->children.back());
}

void Supervisor::remove(const std::string& name)
{
    const auto found = std::ranges::find_if(m_d->children, [&](const auto& child) { return child->spec.name == name; });
    if (found == m_d->children.end())
        return;
    const auto removed = std::move(*found);
    m_d->children.erase(found);
    m_d->destroyLater(std::move(removed->running));
}

void Supervisor::destroyAll()
{
    m_d->stop();
}

bool Supervisor::contains(const std::string& name) const
{
    return m_d->find(name) != nullptr;
}

std::vector<ChildStatus> Supervisor::status() const
{
    std::vector<ChildStatus> result;
    m_d->appendStatus(m_d->name, result);
    return result;
}

}
