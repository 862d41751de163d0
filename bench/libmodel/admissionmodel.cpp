#include "admissionmodel.h"

#include "eventloop.h"
#include "randomsource.h"

#include <algorithm>
#include <array>
#include <deque>
#include <numeric>

namespace kingcuptrail {

namespace {

    constexpr Millis outcomeInterval = 500;
    /// Time from the admission of an opening until its request reaches the upstream, if the caller still waits.
    constexpr Millis handshakeTime = 5;
    /// Time for which an admitted opening occupies the agent after its caller has given up.
    constexpr Millis abandonedTime = 50;
    constexpr Millis loadReportInterval = 200;

    struct ModelCaller {
        Millis askedAt = 0;
        std::uint32_t retriesLeft = 0;
        /// Number of its latest opening; timers of earlier openings are ignored.
        std::uint32_t attempt = 0;
        bool isAccepted = false;
        bool isDone = false;
    };

    struct ModelServer {
        AdmissionQueue queue;
        /// Admitted openings whose request has not arrived yet, and requests at the upstream.
        std::uint32_t atWork = 0;
        std::uint32_t running = 0;
        std::deque<std::size_t> requests;
        double reportedLoad = 0;
    };

    class AdmissionModel {
    public:
        explicit AdmissionModel(const AdmissionModelOptions& options)
            : m_options(options)
            , m_arrivals(options.seed)
            , m_choices(options.seed + 1)
            , m_work(options.seed + 2)
            , m_servers(options.upstreams)
            , m_outcomes(static_cast<std::size_t>((options.duration + outcomeInterval - 1) / outcomeInterval))
        {
            for (ModelServer& server : m_servers)
                server.queue.options = { .waitingPerSlot = options.waitingPerSlot, .maxWait = options.maxWait };
        }

        std::vector<AdmissionOutcome> run()
        {
            scheduleOutage();
            scheduleNext(0);
            reportLoads();
            m_loop.runUntil(toMicros(m_options.duration + m_options.deadline));
            for (const ModelCaller& caller : m_callers) {
                if (AdmissionOutcome* outcome = outcomeOf(caller); outcome && !caller.isDone)
                    ++outcome->lost;
            }
            return std::move(m_outcomes);
        }

    private:
        double meanInterval() const
        {
            const double capacity = m_options.upstreams * m_options.slots / m_options.meanWork;
            return 1 / (capacity * m_options.load);
        }

        Millis now() const { return m_loop.nowMillis(); }

        AdmissionOutcome* outcomeOf(const ModelCaller& caller)
        {
            const Millis span = caller.askedAt / outcomeInterval;
            return caller.askedAt >= 0 && span < static_cast<Millis>(m_outcomes.size()) ? &m_outcomes[static_cast<std::size_t>(span)] : nullptr;
        }

        std::size_t addCaller(Millis askedAt)
        {
            m_callers.push_back({ .askedAt = askedAt, .retriesLeft = m_options.retries });
            if (AdmissionOutcome* outcome = outcomeOf(m_callers.back()))
                ++outcome->asked;
            return m_callers.size() - 1;
        }

        /// Schedules the callers that started during the outage: the agents receive the next copy of their opening packet.
        void scheduleOutage()
        {
            const OpeningSchedule schedule;
            for (double time = -static_cast<double>(m_options.outage); time < 0; time += m_arrivals.exponential(meanInterval())) {
                const auto askedAt = static_cast<Millis>(time);
                const std::size_t caller = addCaller(askedAt);
                const std::array<Millis, 3> ages { schedule.firstCopy, schedule.secondCopy, schedule.giveUp };
                const auto next = std::ranges::find_if(ages, [askedAt](Millis age) { return askedAt + age >= 0; });
                if (next == ages.end())
                    continue;
                // A caller that gives up opens a new flow, and this is the first packet of that flow.
                const bool looksNew = m_arrivals.chance(m_options.lostFlowShare) || *next == schedule.giveUp;
                const std::uint32_t copies = looksNew ? 0 : static_cast<std::uint32_t>(next - ages.begin()) + 1;
                m_loop.at(toMicros(askedAt + *next), [this, caller, copies] { open(caller, copies); });
            }
        }

        void scheduleNext(double time)
        {
            if (time >= static_cast<double>(m_options.duration))
                return;
            m_loop.at(static_cast<Micros>(time * microsPerMilli), [this, time] {
                open(addCaller(now()), 0);
                scheduleNext(time + m_arrivals.exponential(meanInterval()));
            });
        }

        Millis timelyWait() const { return static_cast<Millis>(static_cast<double>(m_options.latencyTarget) * m_options.timelyShare); }

        double loadOf(const ModelServer& server) const
        {
            const bool reportsAllWaiting = m_options.loadReport == LoadReportScope::AllWaiting;
            const auto waiting = reportsAllWaiting ? server.queue.waiting.size() : countTimely(server.queue, now());
            return server.atWork + static_cast<double>(waiting);
        }

        void reportLoads()
        {
            for (ModelServer& server : m_servers)
                server.reportedLoad = loadOf(server);
            if (now() < m_options.duration)
                m_loop.after(toMicros(loadReportInterval), [this] { reportLoads(); });
        }

        std::size_t chooseServer()
        {
            const std::size_t first = m_choices.below(m_servers.size());
            const std::size_t second = m_choices.below(m_servers.size());
            return m_servers[second].reportedLoad < m_servers[first].reportedLoad ? second : first;
        }

        bool isFinished(const ModelCaller& caller) const { return caller.isDone || now() >= caller.askedAt + m_options.deadline; }

        void open(std::size_t caller, std::uint32_t copies)
        {
            if (isFinished(m_callers[caller]))
                return;
            const std::size_t index = chooseServer();
            ModelServer& server = m_servers[index];
            const Millis startedAt = now() - minOpeningAge(copies);
            ModelCaller& modelCaller = m_callers[caller];
            modelCaller.isAccepted = false;
            ++modelCaller.attempt;
            m_loop.at(toMicros(startedAt + OpeningSchedule {}.giveUp), [this, caller, attempt = modelCaller.attempt] { giveUp(caller, attempt); });
            // The address in the flow's key holds the index of the caller.
            const FlowKey flow { .caller = { .address = static_cast<std::uint32_t>(caller) } };
            const bool isQueued = enqueue(server.queue, { .flow = flow, .startedAt = startedAt, .arrivedAt = now(), .timelyUntil = startedAt + timelyWait() }, m_options.slots);
            if (!isQueued)
                refuse(caller);
            admitWaiting(index);
            server.reportedLoad = loadOf(server);
        }

        void giveUp(std::size_t caller, std::uint32_t attempt)
        {
            if (m_callers[caller].attempt == attempt && !m_callers[caller].isAccepted)
                refuse(caller);
        }

        void refuse(std::size_t caller)
        {
            if (m_callers[caller].retriesLeft == 0)
                return;
            --m_callers[caller].retriesLeft;
            m_loop.after(toMicros(2), [this, caller] { open(caller, 0); });
        }

        const WaitingOpening* peekNextOpening(const ModelServer& server) const
        {
            if (m_options.order != AdmissionOrder::Arrival)
                return peekNext(server.queue, now());
            return server.queue.waiting.empty() ? nullptr : server.queue.waiting.data();
        }

        bool canAdmit(const ModelServer& server, const WaitingOpening& opening) const
        {
            const bool needsIdleSlot = m_options.order == AdmissionOrder::LateInIdleSlots && !isTimely(opening, now());
            return server.atWork < (needsIdleSlot ? 1.0 : m_options.workPerSlot) * m_options.slots;
        }

        void admitWaiting(std::size_t index)
        {
            ModelServer& server = m_servers[index];
            for (const WaitingOpening& expired : removeExpired(server.queue, now()))
                refuse(expired.flow.caller.address);
            while (const WaitingOpening* next = peekNextOpening(server)) {
                if (!canAdmit(server, *next))
                    return;
                const std::size_t caller = next->flow.caller.address;
                server.queue.waiting.erase(server.queue.waiting.begin() + (next - server.queue.waiting.data()));
                ++server.atWork;
                const bool isAbandoned = isFinished(m_callers[caller]) || m_callers[caller].isAccepted;
                m_callers[caller].isAccepted = true;
                m_loop.after(toMicros(isAbandoned ? abandonedTime : handshakeTime), [this, index, caller, isAbandoned] { isAbandoned ? release(index) : request(index, caller); });
            }
        }

        void release(std::size_t index)
        {
            --m_servers[index].atWork;
            admitWaiting(index);
        }

        void request(std::size_t index, std::size_t caller)
        {
            m_servers[index].requests.push_back(caller);
            startWork(index);
        }

        void startWork(std::size_t index)
        {
            ModelServer& server = m_servers[index];
            while (server.running < m_options.slots && !server.requests.empty()) {
                const std::size_t caller = server.requests.front();
                server.requests.pop_front();
                ++server.running;
                const double factor = now() < m_options.coldDuration ? m_options.coldFactor : 1.0;
                const double work = m_options.meanWork * factor * (0.5 + m_work.uniform());
                m_loop.after(static_cast<Micros>(work * microsPerMilli), [this, index, caller] { finish(index, caller); });
            }
        }

        void finish(std::size_t index, std::size_t caller)
        {
            ModelCaller& modelCaller = m_callers[caller];
            if (AdmissionOutcome* outcome = outcomeOf(modelCaller); outcome && !isFinished(modelCaller))
                ++(now() - modelCaller.askedAt <= m_options.latencyTarget ? outcome->inTime : outcome->late);
            modelCaller.isDone = modelCaller.isDone || !isFinished(modelCaller);
            --m_servers[index].running;
            startWork(index);
            release(index);
        }

        AdmissionModelOptions m_options;
        /// Separate generators, so that every policy gets the same sequence of callers.
        RandomSource m_arrivals;
        RandomSource m_choices;
        RandomSource m_work;
        EventLoop m_loop;
        std::vector<ModelServer> m_servers;
        std::vector<ModelCaller> m_callers;
        std::vector<AdmissionOutcome> m_outcomes;
    };

}

std::vector<AdmissionOutcome> runAdmissionModel(const AdmissionModelOptions& options)
{
    return AdmissionModel(options).run();
}

AdmissionOutcome sumOf(const std::vector<AdmissionOutcome>& outcomes)
{
    return std::accumulate(outcomes.begin(), outcomes.end(), AdmissionOutcome {}, [](const AdmissionOutcome& sum, const AdmissionOutcome& each) {
        return AdmissionOutcome { .asked = sum.asked + each.asked, .inTime = sum.inTime + each.inTime, .late = sum.late + each.late, .lost = sum.lost + each.lost };
    });
}

}
