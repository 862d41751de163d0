#include "libdecision/admission.h"
#include "libdecision/attempts.h"
#include "libdecision/configorder.h"
#include "libdecision/redirects.h"
#include "libdecision/routing.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>

using namespace kingcuptrail;

namespace {

/// One step of a history: the kind of event, its subjects and the time passed.
struct Step {
    unsigned kind = 0;
    unsigned subject = 0;
    unsigned other = 0;
    Millis passed = 0;
};

using History = std::vector<Step>;

void showValue(const Step& step, std::ostream& stream)
{
    stream << "{" << step.kind << ", " << step.subject << ", " << step.other << ", " << step.passed << "}";
}

/// Whether the property is true for every generated history. A counterexample is shrunk and printed.
template <typename Property>
bool propertyHolds(const char* name, unsigned kinds, unsigned subjects, Property property)
{
    return rc::check(name, [&] {
        const auto step = rc::gen::construct<Step>(rc::gen::inRange(0U, kinds), rc::gen::inRange(0U, subjects),
            rc::gen::inRange(0U, subjects), rc::gen::inRange<Millis>(0, 400));
        property(*rc::gen::scale(4, rc::gen::container<History>(step)));
    });
}

/// One key that is sent to three owners. Each packet may be late, duplicated or reordered.
struct KeySimulation {
    struct Attempt {
        std::size_t owner = 0;
        EarlierAttempts earlier;
        enum { Asking,
            Running,
            Ended } phase
            = Asking;
    };

    LedgerOptions options;
    std::array<Ledger, 3> ledgers;
    std::vector<OwnerToken> named;
    std::vector<std::vector<OwnerToken>> sent;
    std::vector<Attempt> attempts;
    std::uint32_t runs = 0;
    Millis now = 0;

    static OwnerToken tokenOf(std::size_t owner) { return { owner + 1, 1 }; }

    /// The caller closes the last flow and sends the key to another owner, naming all earlier ones.
    void sendOnNewFlow(std::size_t owner)
    {
        sent.push_back(named);
        sent.back().push_back(tokenOf(owner));
        named.push_back(tokenOf(owner));
    }

    /// A packet that was sent arrives, possibly as a duplicate.
    void arrive(std::size_t which)
    {
        if (sent.empty())
            return;
        const auto& packet = sent[which % sent.size()];
        attempts.push_back({ .owner = packet.back().upstream - 1, .earlier = collectEarlierAttempts(std::span(packet).first(packet.size() - 1), packet.back()) });
        proceed(attempts.back());
    }

    /// Checks the earlier owners' answers first and then its own ledger, as the agent does.
    void proceed(Attempt& attempt)
    {
        const AttemptsDecision decision = decideAttempts(attempt.earlier, { .guard = options.guard }).decision;
        if (decision == AttemptsDecision::Wait)
            return;
        const bool mayRun = decision == AttemptsDecision::Run && beginWork(ledgers[attempt.owner], options, "key", now) == BeginVerdict::Run;
        attempt.phase = mayRun ? Attempt::Running : Attempt::Ended;
        runs += mayRun ? 1 : 0;
    }

    /// One earlier owner answers an attempt that waits, or can't be reached.
    void answer(std::size_t which, std::size_t owner, bool reachable)
    {
        if (attempts.empty())
            return;
        Attempt& attempt = attempts[which % attempts.size()];
        if (attempt.phase != Attempt::Asking)
            return;
        if (reachable)
            recordAnswer(attempt.earlier, tokenOf(owner), queryAndFence(ledgers[owner], options, "key", now));
        else
            recordUnreachable(attempt.earlier, tokenOf(owner));
        proceed(attempt);
    }

    /// A running attempt ends. One that the upstream shed has not run.
    void finish(std::size_t which, unsigned outcome)
    {
        if (attempts.empty())
            return;
        Attempt& attempt = attempts[which % attempts.size()];
        if (attempt.phase != Attempt::Running)
            return;
        const std::array outcomes { LedgerState::Ran, LedgerState::NotRun, LedgerState::Unknown };
        settleWork(ledgers[attempt.owner], options, "key", outcomes[outcome % 3], now);
        attempt.phase = Attempt::Ended;
        runs -= outcome % 3 == 1 ? 1 : 0;
    }

    void apply(const Step& step)
    {
        now += step.passed;
        switch (step.kind) {
        case 0:
            return sendOnNewFlow(step.subject % 3);
        case 1:
            return arrive(step.subject);
        case 2:
            return answer(step.subject, step.other % 3, step.passed % 8 != 0);
        default:
            return finish(step.subject, step.other);
        }
    }
};

}

class TestProperties : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TestProperties);
    CPPUNIT_TEST(keyRunsAtMostOnce);
    CPPUNIT_TEST(redirectsMatchTheModel);
    CPPUNIT_TEST(configurationSpreadsAndNeverReverts);
    CPPUNIT_TEST(limitStaysWithinBounds);
    CPPUNIT_TEST(everyRequestEndsExactlyOnce);
    CPPUNIT_TEST(indexMatchesLinearSearch);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a key that runs twice. A non-idempotent request is sent on several flows, each naming the earlier
    // owners; packets are late, duplicated and reordered, answers are lost and owners shed. Without the guard the key does
    // run twice.
    void keyRunsAtMostOnce()
    {
        CPPUNIT_ASSERT(propertyHolds("a key runs at most once", 4, 12, [](const History& history) {
            KeySimulation simulation;
            for (const Step& step : history) {
                simulation.apply(step);
                RC_ASSERT(simulation.runs <= 1);
            }
        }));
        KeySimulation unguarded { .options = { .guard = false } };
        for (const Step& step : { Step { 0, 0 }, Step { 1, 0 }, Step { 0, 1 }, Step { 1, 1 } })
            unguarded.apply(step);
        CPPUNIT_ASSERT_EQUAL(2U, unguarded.runs);
    }

    void redirectsMatchTheModel()
    {
        CPPUNIT_ASSERT(propertyHolds("redirects match the model", 5, 12, [](const History& history) {
            const RedirectOptions options { .maxEntries = 6, .retention = 2000 };
            Redirects redirects;
            struct Recorded {
                FlowId flow;
                OwnerToken owner;
                Millis at;
            };
            std::vector<Recorded> model;
            Millis now = 0;
            for (const Step& step : history) {
                now += step.passed;
                const FlowId flow = step.subject;
                const OwnerToken owner { step.other % 3 + 1, static_cast<Incarnation>(step.other / 3 + 1) };
                const auto ofFlow = [&](const Recorded& recorded) { return recorded.flow == flow; };
                if (step.kind <= 1) {
                    recordRedirect(redirects, options, flow, owner, now);
                    const bool isOld = std::any_of(model.begin(), model.end(), [&](const Recorded& recorded) {
                        return ofFlow(recorded) && recorded.owner.upstream == owner.upstream && recorded.owner.incarnation > owner.incarnation;
                    });
                    if (!isOld) {
                        std::erase_if(model, ofFlow);
                        model.push_back({ flow, owner, now });
                    }
                    if (model.size() > options.maxEntries)
                        model.erase(model.begin());
                } else if (step.kind == 2) {
                    removeRedirect(redirects, flow);
                    std::erase_if(model, ofFlow);
                } else if (step.kind == 3) {
                    const auto gone = std::erase_if(model, [&](const Recorded& recorded) { return recorded.owner == owner; });
                    RC_ASSERT(removeOwner(redirects, owner) == gone);
                } else {
                    const auto old = std::erase_if(model, [&](const Recorded& recorded) { return now - recorded.at > options.retention; });
                    RC_ASSERT(expireRedirects(redirects, options, now) == old);
                }
                RC_ASSERT((redirects.entries.size() == model.size() && redirects.order.size() == model.size()));
                for (FlowId any = 0; any < 12; ++any) {
                    std::optional<OwnerToken> expected;
                    for (const Recorded& recorded : model) {
                        if (recorded.flow == any && now - recorded.at <= options.retention)
                            expected = recorded.owner;
                    }
                    RC_ASSERT((findRedirect(redirects, options, any, now) == expected));
                }
            }
        }));
    }

    // Guards against a configuration that reverts. Versions reach six daemons in any order, late and duplicated, and daemons
    // exchange them. No daemon goes back to an older one, and after one round of heartbeats around the ring in both
    // directions all have the newest.
    void configurationSpreadsAndNeverReverts()
    {
        CPPUNIT_ASSERT(propertyHolds("configuration never reverts", 2, 6, [](const History& history) {
            std::array<ConfigVersion, 6> held {};
            const auto apply = [&](std::size_t daemon, ConfigVersion offered) {
                const ConfigVersion before = held[daemon];
                if (supersedes(before, offered))
                    held[daemon] = offered;
                RC_ASSERT((held[daemon] >= before && held[daemon] >= offered));
            };
            const auto synchronise = [&](std::size_t one, std::size_t two) {
                const ConfigStep step = nextConfigStep(held[one], held[two]);
                if (step == ConfigStep::Fetch)
                    apply(one, held[two]);
                else if (step == ConfigStep::Offer)
                    apply(two, held[one]);
                RC_ASSERT(held[one] == held[two]);
            };
            for (const Step& step : history) {
                if (step.kind == 0)
                    apply(step.subject, static_cast<ConfigVersion>(step.passed));
                else
                    synchronise(step.subject, step.other);
            }
            const ConfigVersion newest = *std::max_element(held.begin(), held.end());
            for (std::size_t daemon = 0; daemon + 1 < held.size(); ++daemon)
                synchronise(daemon, daemon + 1);
            for (std::size_t daemon = held.size() - 1; daemon > 0; --daemon)
                synchronise(daemon - 1, daemon);
            RC_ASSERT(std::all_of(held.begin(), held.end(), [&](ConfigVersion version) { return version == newest; }));
        }));
        CPPUNIT_ASSERT(supersedes(7, 6, { .guard = false }));
    }

    // For any sequence of outcomes the limit is between one and the slots, is one after a shed or a failure, and never
    // exceeds the straight line of its warm-up.
    void limitStaysWithinBounds()
    {
        CPPUNIT_ASSERT(propertyHolds("the limit stays within its bounds", 12, 9, [](const History& history) {
            const LimitOptions options { .slots = 8, .warmUp = 3000 };
            ConcurrencyLimit limit;
            Millis firstAnswer = -1;
            bool wasWarm = false;
            Millis now = 0;
            for (const Step& step : history) {
                now += step.passed;
                const auto outcome = fromNumber<WorkOutcome>(step.kind).value_or(WorkOutcome::Succeeded);
                const Millis time = step.kind == 11 ? 900 : 20 + static_cast<Millis>(step.other);
                const auto coldStarts = limit.coldStarts;
                const std::uint32_t before = allowedConcurrency(limit, options);
                recordCompletion(limit, options, { .outcome = outcome, .serviceTime = time, .busy = step.subject }, now);
                const std::uint32_t allowed = allowedConcurrency(limit, options);
                RC_ASSERT((allowed >= 1 && allowed <= options.slots));
                const bool rejected = outcome == WorkOutcome::Shed || outcome == WorkOutcome::Failed;
                RC_ASSERT((allowed <= before || step.subject >= before));
                if (rejected)
                    RC_ASSERT((allowed == 1 && limit.cold && limit.coldStarts == coldStarts + 1));
                if (limit.coldStarts != coldStarts) {
                    firstAnswer = -1;
                    wasWarm = false;
                } else if (firstAnswer < 0 && outcome == WorkOutcome::Succeeded) {
                    firstAnswer = now;
                }
                wasWarm = wasWarm || !limit.cold;
                const double line = firstAnswer >= 0 ? 1 + 7.0 * static_cast<double>(now - firstAnswer) / 3000 : 1;
                RC_ASSERT((wasWarm || limit.limit <= line + 1e-6));
            }
        }));
    }

    // Requests arrive, start, end, are cancelled and expire in any order. Each ends exactly once, none starts after its
    // deadline, and neither the slots nor the queue limit are exceeded.
    void everyRequestEndsExactlyOnce()
    {
        CPPUNIT_ASSERT(propertyHolds("every request ends exactly once", 8, 8, [](const History& history) {
            const AdmissionOptions options { .slots = 4, .queueLimit = 6, .warmUp = 1000 };
            AdmissionState state;
            std::map<std::uint64_t, WorkItem> waiting;
            std::vector<WorkItem> running;
            std::uint64_t lastId = 0;
            Millis now = 0;
            for (const Step& step : history) {
                now += step.passed / 8;
                const auto workClass = step.other % 2 == 0 ? WorkClass::Short : WorkClass::Long;
                const WorkItem item { .id = lastId + 1, .workClass = workClass, .deadline = now + step.passed, .queuedAt = now };
                if (step.kind < 4) {
                    ++lastId;
                    const AdmitVerdict verdict = admit(state, options, item, now);
                    if (verdict.decision == AdmitDecision::Run)
                        running.push_back(item);
                    else if (verdict.decision == AdmitDecision::Queue)
                        waiting[item.id] = item;
                    else
                        RC_ASSERT((verdict.refusal.ran == Ran::No && verdict.refusal.retryAfter >= 50));
                } else if (step.kind == 4) {
                    RC_ASSERT(cancelQueued(state, lastId) == (waiting.erase(lastId) == 1));
                } else if (step.kind < 7 && !running.empty()) {
                    const auto outcome = fromNumber<WorkOutcome>(step.other % 8).value_or(WorkOutcome::Succeeded);
                    finishWork(state, options, running.back().workClass, outcome, step.passed, now);
                    running.pop_back();
                }
                for (const RefusedItem& expired : removeExpired(state, options, now))
                    RC_ASSERT((waiting.erase(expired.item.id) == 1 && expired.refusal.ran == Ran::No));
                for (const WorkItem& started : dequeueRunnable(state, options, now)) {
                    RC_ASSERT((waiting.erase(started.id) == 1 && started.deadline > now));
                    running.push_back(started);
                }
                RC_ASSERT((busy(state) == running.size() && busy(state) <= options.slots));
                RC_ASSERT((queued(state) == waiting.size() && queued(state) <= options.queueLimit));
                const auto wake = nextWakeTime(state, now);
                RC_ASSERT((wake.has_value() == !waiting.empty() && (!wake || *wake > now)));
            }
        }));
    }

    void indexMatchesLinearSearch()
    {
        CPPUNIT_ASSERT(propertyHolds("the index matches a linear search", 1, 10, [](const History& history) {
            std::set<std::pair<UpstreamId, Incarnation>> tokens;
            for (const Step& step : history)
                tokens.insert({ step.subject + 1, step.other + 1 });
            std::vector<Member> members;
            members.reserve(tokens.size());
            for (const auto& [upstream, incarnation] : tokens)
                members.push_back({ .token = { upstream, incarnation } });
            const MemberIndex index = buildMemberIndex(members);
            for (unsigned number = 0; number < 121; ++number) {
                const OwnerToken token { number / 11 + 1, number % 11 + 1 };
                OwnerToken newest = token;
                for (const auto& [upstream, incarnation] : tokens)
                    newest.incarnation = upstream == token.upstream ? std::max(newest.incarnation, incarnation) : newest.incarnation;
                const bool succeeded = newest.incarnation != token.incarnation;
                const MemberLookup lookup = findMember(index, token);
                RC_ASSERT(lookup.exact.has_value() == tokens.contains({ token.upstream, token.incarnation }));
                RC_ASSERT((!lookup.exact || members[*lookup.exact].token == token));
                RC_ASSERT(lookup.successor.has_value() == succeeded);
                RC_ASSERT((!succeeded || members[*lookup.successor].token == newest));
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestProperties);
