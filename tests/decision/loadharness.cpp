#include "loadharness.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <tuple>
#include <utility>

namespace kingcuptrail {

namespace {

    constexpr Millis hintInterval = 500;
    constexpr Millis downTime = 500;
    constexpr Millis refusedConnectionTime = 1;

    struct Request {
        WorkItem item;
        Millis arrivedAt = 0;
        std::size_t upstream = 0;
        std::uint32_t tries = 1;
        double size = 1;
        Millis startedAt = -1;
    };

    struct Event {
        Millis at = 0;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    struct Upstream {
        UpstreamModel model;
        std::optional<Millis> coldSince;
        Millis downUntil = 0;
        std::uint32_t running = 0;
        std::uint64_t generation = 0;
        std::vector<std::uint64_t> active;
        Millis scheduledWake = -1;
        UpstreamStats stats;

        double servableRequests(Millis now) const
        {
            if (now < downUntil)
                return 1;
            if (now >= model.changesAt)
                return model.laterMaxConcurrency;
            if (!coldSince)
                return model.maxConcurrency;
            const double passed = std::clamp(static_cast<double>(now - *coldSince) / model.warmTime, 0.0, 1.0);
            return 1 + (model.maxConcurrency - 1) * passed;
        }
    };

    class Simulation {
    public:
        explicit Simulation(const LoadRun& run)
            : m_run(run)
            , m_random(run.seed)
        {
            for (const UpstreamModel& model : run.upstreams) {
                m_upstreams.push_back({});
                m_upstreams.back().model = model;
            }
        }

        LoadResult run()
        {
            for (const Arrivals& arrivals : m_run.arrivals) {
                scheduleArrivals(arrivals, WorkClass::Short, arrivals.shortPerSecond);
                scheduleArrivals(arrivals, WorkClass::Long, arrivals.longPerSecond);
            }
            for (std::uint32_t count = 0; count < m_run.burst; ++count)
                at(m_run.burstAt, [this] { arrive(WorkClass::Short, 0, m_run.burstDeadline); });
            for (std::size_t index = 0; index < m_upstreams.size(); ++index)
                scheduleUpstream(index);
            while (!m_events.empty()) {
                const Event event = m_events.top();
                m_events.pop();
                m_now = event.at;
                event.run();
            }
            for (Upstream& upstream : m_upstreams)
                m_result.upstreams.push_back(upstream.stats);
            countSimultaneousRetries();
            return m_result;
        }

    private:
        void at(Millis time, std::function<void()> run) { m_events.push({ std::max(time, m_now), ++m_order, std::move(run) }); }

        void scheduleArrivals(const Arrivals& arrivals, WorkClass workClass, double perSecond)
        {
            m_end = std::max(m_end, arrivals.until);
            if (perSecond <= 0)
                return;
            std::exponential_distribution<double> gap(perSecond / 1000);
            std::vector<double> shares = arrivals.shares;
            shares.resize(m_upstreams.size(), arrivals.shares.empty() ? 1 : 0);
            std::discrete_distribution<std::size_t> choose(shares.begin(), shares.end());
            const Millis deadline = workClass == WorkClass::Short ? arrivals.shortDeadline : arrivals.longDeadline;
            for (double time = arrivals.from + gap(m_random); time < arrivals.until; time += gap(m_random))
                at(static_cast<Millis>(time), [=, this, target = choose(m_random)] { arrive(workClass, target, deadline); });
        }

        void scheduleUpstream(std::size_t index)
        {
            for (const Millis time : m_upstreams[index].model.coldAt)
                at(time, [=, this] { m_upstreams[index].coldSince = time; });
            if (!m_upstreams[index].model.hint)
                return;
            for (Millis time = 0; time < m_end; time += hintInterval)
                at(time, [=, this] {
                    Upstream& upstream = m_upstreams[index];
                    applyHint(upstream.stats.state, m_run.options, upstream.model.hint(m_now, upstream.running), m_now);
                });
        }

        void arrive(WorkClass workClass, std::size_t target, Millis deadline)
        {
            std::uniform_real_distribution<double> size(0.5, 1.5);
            const std::uint64_t id = m_requests.size() + 1;
            m_requests[id] = { .item = { .id = id, .workClass = workClass, .deadline = m_now + deadline, .queuedAt = m_now },
                .arrivedAt = m_now,
                .upstream = target,
                .size = size(m_random) };
            ++outcomesOf(m_requests[id]).offered;
            ++m_result.firstTries;
            recordFirstTry(m_budget, m_run.retry);
            offer(id);
        }

        Outcomes& outcomesOf(const Request& request)
        {
            return request.arrivedAt < m_run.countFrom ? m_uncounted : m_result.outcomes[request.item.workClass];
        }

        void offer(std::uint64_t id)
        {
            Request& request = m_requests[id];
            request.item.queuedAt = m_now;
            UpstreamStats& stats = m_upstreams[request.upstream].stats;
            const AdmitVerdict verdict = admit(stats.state, m_run.options, request.item, m_now);
            if (verdict.decision == AdmitDecision::Run)
                begin(id);
            else if (verdict.decision == AdmitDecision::Refuse)
                refuse(id, verdict.refusal);
            processQueue(request.upstream);
        }

        void processQueue(std::size_t index)
        {
            UpstreamStats& stats = m_upstreams[index].stats;
            for (const RefusedItem& expired : removeExpired(stats.state, m_run.options, m_now))
                refuse(expired.item.id, expired.refusal);
            for (const WorkItem& item : dequeueRunnable(stats.state, m_run.options, m_now))
                begin(item.id);
            const auto wake = nextWakeTime(stats.state, m_now);
            Millis& scheduledWake = m_upstreams[index].scheduledWake;
            if (!wake || (scheduledWake > m_now && scheduledWake <= *wake))
                return;
            scheduledWake = *wake;
            at(*wake, [=, this, due = *wake] {
                if (m_upstreams[index].scheduledWake == due)
                    processQueue(index);
            });
        }

        void refuse(std::uint64_t id, const RefusalVerdict& refusal)
        {
            Request& request = m_requests[id];
            Outcomes& outcomes = outcomesOf(request);
            if (refusal.ran == Ran::No && request.startedAt >= 0)
                ++outcomes.falseNotRunRefusals;
            if (request.arrivedAt >= m_run.countFrom)
                m_retryTimes.push_back(m_now + refusal.retryAfter);
            const RetryFacts facts { .idempotent = false, .tries = request.tries, .deadline = request.item.deadline, .now = m_now };
            const AttemptResult failedTry { .ran = refusal.ran, .reason = refusal.reason, .retryAfter = refusal.retryAfter };
            if (m_run.callersRetry) {
                const RetryVerdict verdict = decideRetry(m_budget, m_run.retry, facts, failedTry);
                if (verdict.retry)
                    return scheduleRetry(id, verdict);
            }
            ++outcomes.refused;
            outcomes.refusedAfter.push_back(m_now - request.item.queuedAt);
        }

        void scheduleRetry(std::uint64_t id, const RetryVerdict& verdict)
        {
            Request& request = m_requests[id];
            ++request.tries;
            ++m_result.retries;
            request.startedAt = -1;
            request.upstream = (request.upstream + (verdict.newFlow ? 1 : 0)) % m_upstreams.size();
            at(m_now + verdict.delay, [=, this] { offer(id); });
        }

        void begin(std::uint64_t id)
        {
            Request& request = m_requests[id];
            Upstream& upstream = m_upstreams[request.upstream];
            request.startedAt = m_now;
            if (m_now < upstream.downUntil)
                return endLater(id, WorkOutcome::Failed, refusedConnectionTime);
            ++upstream.running;
            const double servableRequests = upstream.servableRequests(m_now);
            const bool overloaded = upstream.running > std::floor(servableRequests + 1e-9);
            upstream.active.push_back(id);
            if (overloaded)
                upstream.stats.overloadedAt.push_back(m_now);
            if (overloaded && upstream.model.overload == Overload::Crashes)
                return crash(request.upstream);
            if (overloaded && upstream.model.overload == Overload::Sheds)
                return endLater(id, WorkOutcome::Shed, 2);
            endLater(id, WorkOutcome::Succeeded, serviceTime(request, upstream, servableRequests));
        }

        Millis serviceTime(const Request& request, const Upstream& upstream, double servableRequests) const
        {
            const bool isShort = request.item.workClass == WorkClass::Short;
            const double excess = std::max(1.0, upstream.running / servableRequests);
            const double coldness = upstream.model.maxConcurrency / servableRequests;
            const double base = static_cast<double>(isShort ? upstream.model.shortTime : upstream.model.longTime) * request.size;
            const bool slows = upstream.model.overload == Overload::Slows;
            return std::max<Millis>(1, static_cast<Millis>(slows ? base * excess * excess * std::sqrt(coldness) : base));
        }

        void crash(std::size_t index)
        {
            Upstream& upstream = m_upstreams[index];
            ++upstream.generation;
            ++upstream.stats.crashCount;
            upstream.downUntil = m_now + downTime;
            upstream.coldSince = upstream.downUntil;
            const auto lost = std::exchange(upstream.active, {});
            upstream.running = 0;
            for (const std::uint64_t id : lost)
                at(m_now + 1, [=, this] { finish(id, WorkOutcome::Failed); });
        }

        void endLater(std::uint64_t id, WorkOutcome outcome, Millis after)
        {
            const std::size_t index = m_requests[id].upstream;
            const std::uint64_t generation = m_upstreams[index].generation;
            const bool counted = outcome != WorkOutcome::Failed;
            at(m_now + after, [=, this] {
                Upstream& upstream = m_upstreams[index];
                if (counted && upstream.generation != generation)
                    return;
                if (counted) {
                    --upstream.running;
                    std::erase(upstream.active, id);
                }
                finish(id, outcome);
            });
        }

        void finish(std::uint64_t id, WorkOutcome outcome)
        {
            Request& request = m_requests[id];
            const std::size_t index = request.upstream;
            UpstreamStats& stats = m_upstreams[index].stats;
            const Millis took = m_now - request.startedAt;
            finishWork(stats.state, m_run.options, request.item.workClass, outcome, took, m_now);
            Outcomes& outcomes = outcomesOf(request);
            if (outcome == WorkOutcome::Shed) {
                request.startedAt = -1;
                refuse(id, { .ran = Ran::No, .reason = RefusalReason::UpstreamShed, .retryAfter = 100 });
            } else if (outcome != WorkOutcome::Succeeded) {
                ++outcomes.failed;
            } else if (m_now <= request.item.deadline) {
                ++outcomes.servedInTime;
                if (request.arrivedAt >= m_run.countFrom) {
                    ++stats.servedInTime;
                    stats.usefulSlotTime += static_cast<double>(took);
                }
                outcomes.servedAfter.push_back(m_now - request.arrivedAt);
            } else {
                ++outcomes.servedLate;
            }
            processQueue(index);
        }

        void countSimultaneousRetries()
        {
            std::sort(m_retryTimes.begin(), m_retryTimes.end());
            std::size_t first = 0;
            for (std::size_t last = 0; last < m_retryTimes.size(); ++last) {
                while (m_retryTimes[last] - m_retryTimes[first] >= 20)
                    ++first;
                m_result.maxSimultaneousRetries = std::max(m_result.maxSimultaneousRetries, static_cast<std::uint32_t>(last - first + 1));
            }
        }

        const LoadRun& m_run;
        std::mt19937 m_random;
        std::vector<Upstream> m_upstreams;
        std::map<std::uint64_t, Request> m_requests;
        std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
        std::vector<Millis> m_retryTimes;
        RetryBudget m_budget;
        LoadResult m_result;
        Outcomes m_uncounted;
        Millis m_now = 0;
        Millis m_end = 0;
        std::uint64_t m_order = 0;
    };

}

LoadResult runLoad(const LoadRun& run)
{
    return Simulation(run).run();
}

Millis percentile(std::vector<Millis> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[index];
}

}
