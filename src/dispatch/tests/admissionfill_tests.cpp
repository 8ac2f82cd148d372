// Tests of what many entries together admit to rank groups under overload: simulated entries that hear of each other late, groups whose passes
// lengthen with their load and with shifts of demand, and callers of several priorities that return once after a refusal.

#include "dispatch/serviceadmission.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace daisymount;
using namespace daisymount::dispatch;

namespace
{
constexpr Instant START{std::chrono::seconds{100}};
constexpr int RANKS = 24;
constexpr int GROUPS = 3;
constexpr int PRIORITIES = 3;
constexpr double STEP_S = 0.02;
constexpr double FLOOD_BEGIN_S = 1.5;
constexpr double FLOOD_END_S = 6.0;
constexpr double MEASURED_FROM_S = 2.5;
constexpr double END_S = 7.5;
constexpr double MEAN_EVENTS = 19.0;
constexpr double PERMITTED_PAUSE_S = 0.15;
constexpr double OBJECTIVE_S = 0.5;
constexpr double DEADLINE_S = 8.0;

GroupCapacity capacity()
{
    GroupCapacity group;
    group.engine.slots = 10;
    group.engine.stepMs = 4.55;
    group.engine.stepMsPerSequence = 1.09;
    group.engine.usualAnswerTokens = 96;
    group.engine.stepsPerPass = 5;
    group.ranks = RANKS;
    group.pauseObjective = milliseconds{150};
    return group;
}

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Number of seeds to play; DAISYMOUNT_SEEDS plays more by hand.
uint64_t seedCount()
{
    constexpr uint64_t USUAL = 24;
    const char *text = std::getenv("DAISYMOUNT_SEEDS");
    return text == nullptr ? USUAL : std::strtoull(text, nullptr, 10);
}

struct Scenario
{
    uint64_t seed = 1;
    int entries = 30;
    double overload = 2.0; ///< Demand relative to what the groups bear, during the flood. Before and after it is 0.6.
    std::array<double, PRIORITIES> mix{0.36, 0.48, 0.16}; ///< Parts of the demand in the flood.
};

struct Kind
{
    int asked = 0; ///< Callers.
    int served = 0;
    int inTime = 0;

    double fraction() const
    {
        return asked == 0 ? 1.0 : static_cast<double>(served) / asked;
    }
};

struct Outcome
{
    std::array<Kind, PRIORITIES> kinds;
    double meanFill = 0.0; ///< Of the limits, during the flood.
    double fillAfter = 0.0; ///< While refused callers return.
    int refusals = 0;
    int refusalsWithRoom = 0; ///< Less than 0.85 of the limits were in flight.
    int passes = 0;
    int latePasses = 0; ///< Longer than the permitted pause.
};

/// A service with several groups behind entries that serve unequal parts of its callers.
class SimulatedService
{
public:
    explicit SimulatedService(const Scenario &scenario) : scenario_(scenario), random_(scenario.seed)
    {
        std::vector<double> weights;
        for (int i = 0; i < scenario.entries; ++i) {
            Entry entry{ServiceAdmission({.seed = scenario.seed * 1'000 + static_cast<uint64_t>(i)})};
            entry.admission.setEntries(scenario.entries);
            entry.nextReport = std::uniform_real_distribution<double>(0.0, 0.3)(random_);
            entry.heard.resize(static_cast<size_t>(scenario.entries));
            entries_.push_back(std::move(entry));
            weights.push_back(std::uniform_real_distribution<double>(0.4, 1.6)(random_));
        }
        chooseEntry_ = std::discrete_distribution<size_t>(weights.begin(), weights.end());
        for (Group &group : groups_) {
            group.skew = std::uniform_real_distribution<double>(1.6, 2.2)(random_);
            group.nextShift = std::uniform_real_distribution<double>(1.0, 4.0)(random_);
        }
    }

    Outcome play()
    {
        for (now_ = 0.0; now_ < END_S; now_ += STEP_S) {
            makePasses();
            arrive();
            returnCallers();
            admitWaiting();
            sendReports();
            measure();
        }
        outcome_.meanFill /= std::max(1, fillSamples_);
        outcome_.fillAfter /= std::max(1, fillSamplesAfter_);
        return outcome_;
    }

private:
    struct Stream
    {
        size_t entry = 0;
        int priority = 0;
        int eventsLeft = 0;
        bool hasEvent = false;
        bool inTime = true;
        double arrivedAt = 0.0;
        double sentAt = 0.0;
    };

    struct Group
    {
        std::vector<Stream> streams;
        double skew = 2.0;
        double nextShift = 0.0;
        double nextPass = 0.0;
        double lastPass = 0.1;
    };

    struct Waiting
    {
        AdmissionRequest request;
        size_t entry = 0;
        double firstAt = 0.0;
        double since = 0.0;
    };

    struct Return
    {
        double at = 0.0;
        int priority = 0;
        std::string organisation;
        double firstAt = 0.0;
    };

    struct Entry
    {
        ServiceAdmission admission;
        double nextReport = 0.0;
        std::array<int, GROUPS> inFlight{};
        std::vector<std::array<int, GROUPS>> heard{}; ///< In flight of the other entries, as last heard.
        std::array<int, GROUPS> heardSum{};
    };

    static std::string key(size_t group)
    {
        return "llm/g" + std::to_string(group);
    }

    double passTime(const Group &group) const
    {
        return std::chrono::duration<double>(modelledPassTime(capacity(), static_cast<double>(group.streams.size()))).count() * group.skew;
    }

    std::vector<GroupView> viewOf(size_t entry) const
    {
        std::vector<GroupView> views;
        for (size_t g = 0; g < GROUPS; ++g) {
            const int own = entries_[entry].inFlight[g];
            views.push_back({key(g), capacity(), own + entries_[entry].heardSum[g], own, true});
        }
        return views;
    }

    void makePasses()
    {
        for (size_t g = 0; g < GROUPS; ++g) {
            Group &group = groups_[g];
            if (now_ >= group.nextShift) {
                group.skew = std::uniform_real_distribution<double>(1.6, 2.2)(random_);
                group.nextShift = now_ + std::uniform_real_distribution<double>(2.5, 4.0)(random_);
            }
            if (now_ < group.nextPass) {
                continue;
            }
            finishPass(g);
            group.lastPass = passTime(group);
            group.nextPass = now_ + group.lastPass;
        }
    }

    void finishPass(size_t g)
    {
        Group &group = groups_[g];
        std::vector<bool> told(entries_.size());
        if (!group.streams.empty()) {
            ++outcome_.passes;
            outcome_.latePasses += group.lastPass > PERMITTED_PAUSE_S ? 1 : 0;
        }
        for (Stream &stream : group.streams) {
            Entry &entry = entries_[stream.entry];
            if (!stream.hasEvent) {
                stream.hasEvent = true;
                stream.inTime = now_ - stream.arrivedAt <= OBJECTIVE_S;
                entry.admission.onFirstEvent(toDuration(now_ - stream.sentAt));
            } else {
                stream.inTime = stream.inTime && group.lastPass <= PERMITTED_PAUSE_S;
                if (!told[stream.entry]) {
                    told[stream.entry] = true;
                    const int inFlight = entry.inFlight[g] + entry.heardSum[g];
                    entry.admission.onPass(key(g), toDuration(group.lastPass), inFlight, at());
                }
            }
            --stream.eventsLeft;
            if (stream.eventsLeft == 0) {
                entry.admission.onCompleted(toDuration(now_ - stream.sentAt));
                --entry.inFlight[g];
                Kind &kind = outcome_.kinds[static_cast<size_t>(stream.priority)];
                ++kind.served;
                kind.inTime += stream.inTime ? 1 : 0;
            }
        }
        std::erase_if(group.streams, [](const Stream &stream) { return stream.eventsLeft == 0; });
    }

    /// Requests a second that all groups bear with the mean skew.
    static double borne()
    {
        // The number of requests at which passes take the permitted pause, with a skew of 1.9 and some reserve.
        const double stepMs = PERMITTED_PAUSE_S * 1'000.0 * 0.9 / 1.9 / 5.0;
        const double inFlight = GROUPS * RANKS * (stepMs - 4.55) / 1.09;
        return inFlight / (MEAN_EVENTS * PERMITTED_PAUSE_S * 0.9);
    }

    void arrive()
    {
        const bool flood = now_ >= FLOOD_BEGIN_S && now_ < FLOOD_END_S;
        const double perSecond = borne() * (flood ? scenario_.overload : 0.6);
        const int count = std::poisson_distribution<int>(perSecond * STEP_S)(random_);
        for (int i = 0; i < count; ++i) {
            const size_t priority = std::discrete_distribution<size_t>(scenario_.mix.begin(), scenario_.mix.end())(random_);
            ++outcome_.kinds[priority].asked;
            attempt(static_cast<int>(priority), "org" + std::to_string(random_() % 3), now_);
        }
    }

    void attempt(int priority, const std::string &organisation, double firstAt)
    {
        Waiting waiting;
        waiting.entry = chooseEntry_(random_);
        waiting.firstAt = firstAt;
        waiting.since = now_;
        waiting.request.objective = toDuration(OBJECTIVE_S);
        waiting.request.sinceFirstAttempt = toDuration(now_ - firstAt);
        waiting.request.key = {priority, organisation, now_ - firstAt >= OBJECTIVE_S};
        entries_[waiting.entry].admission.onArrival(waiting.request, at());
        if (!decide(waiting)) {
            waiting_.push_back(std::move(waiting));
        }
    }

    /// Returns true once the request is admitted or refused.
    bool decide(Waiting &waiting)
    {
        Entry &entry = entries_[waiting.entry];
        waiting.request.waited = toDuration(now_ - waiting.since);
        waiting.request.left = toDuration(waiting.firstAt + DEADLINE_S - now_);
        const ServiceDecision decision = entry.admission.decide(waiting.request, viewOf(waiting.entry), at());
        if (decision.admission == Admission::Wait) {
            return false;
        }
        if (decision.admission == Admission::Refuse) {
            refuse(waiting, decision);
            return true;
        }
        const size_t g = static_cast<size_t>(decision.group.back() - '0');
        const int events = 1 + std::poisson_distribution<int>(std::exponential_distribution<double>(1.0 / (MEAN_EVENTS - 1.0))(random_))(random_);
        groups_[g].streams.push_back({waiting.entry, waiting.request.key.priority, events, false, true, waiting.firstAt, now_});
        ++entry.inFlight[g];
        return true;
    }

    void refuse(const Waiting &waiting, const ServiceDecision &decision)
    {
        if (now_ >= MEASURED_FROM_S) {
            ++outcome_.refusals;
            outcome_.refusalsWithRoom += fill() < 0.85 ? 1 : 0;
        }
        if (waiting.firstAt == waiting.since) {
            const double delay = std::chrono::duration<double>(decision.retryAfter).count();
            returns_.push_back({now_ + delay, waiting.request.key.priority, waiting.request.key.organisation, waiting.firstAt});
        }
    }

    void returnCallers()
    {
        std::vector<Return> due;
        std::ranges::copy_if(returns_, std::back_inserter(due), [this](const Return &caller) { return caller.at <= now_; });
        std::erase_if(returns_, [this](const Return &caller) { return caller.at <= now_; });
        for (const Return &caller : due) {
            attempt(caller.priority, caller.organisation, caller.firstAt);
        }
    }

    void admitWaiting()
    {
        std::vector<Waiting> waiting = std::move(waiting_);
        waiting_.clear();
        for (Waiting &each : waiting) {
            if (!decide(each)) {
                waiting_.push_back(std::move(each));
            }
        }
    }

    void sendReports()
    {
        for (size_t from = 0; from < entries_.size(); ++from) {
            Entry &sender = entries_[from];
            if (now_ < sender.nextReport) {
                continue;
            }
            sender.nextReport += 0.3;
            const DemandReport demand = sender.admission.demand(at());
            for (size_t to = 0; to < entries_.size(); ++to) {
                if (to == from || random_() % 10 == 0) {
                    continue;
                }
                Entry &receiver = entries_[to];
                for (size_t g = 0; g < GROUPS; ++g) {
                    receiver.heardSum[g] += sender.inFlight[g] - receiver.heard[from][g];
                }
                receiver.heard[from] = sender.inFlight;
                receiver.admission.onPeerDemand("entry" + std::to_string(from), demand, at());
            }
        }
    }

    double inFlight() const
    {
        double sum = 0.0;
        for (const Group &group : groups_) {
            sum += static_cast<double>(group.streams.size());
        }
        return sum;
    }

    /// Requests in flight relative to the limits, in the mean of the entries that have decided on one.
    double fill() const
    {
        double limits = 0.0;
        int deciding = 0;
        for (const Entry &entry : entries_) {
            for (const auto &[group, decision] : entry.admission.limits()) {
                limits += decision.limit / GROUPS;
                ++deciding;
            }
        }
        return deciding == 0 ? 0.0 : inFlight() / GROUPS * deciding / (limits * GROUPS);
    }

    void measure()
    {
        if (now_ >= MEASURED_FROM_S && now_ < FLOOD_END_S) {
            outcome_.meanFill += fill();
            ++fillSamples_;
        } else if (now_ >= FLOOD_END_S + 0.3) {
            outcome_.fillAfter += fill();
            ++fillSamplesAfter_;
        }
    }

    Instant at() const
    {
        return START + toDuration(now_);
    }

    Scenario scenario_;
    std::mt19937_64 random_;
    std::vector<Entry> entries_;
    std::array<Group, GROUPS> groups_;
    std::discrete_distribution<size_t> chooseEntry_;
    std::vector<Waiting> waiting_;
    std::vector<Return> returns_;
    Outcome outcome_;
    double now_ = 0.0;
    int fillSamples_ = 0;
    int fillSamplesAfter_ = 0;
};

Scenario randomScenario(uint64_t seed)
{
    std::mt19937_64 random(seed);
    Scenario scenario{seed};
    scenario.entries = 3 + static_cast<int>(random() % 58);
    scenario.overload = std::uniform_real_distribution<double>(1.6, 3.0)(random);
    return scenario;
}
} // namespace

TEST_GROUP(AdmissionFill){};

/// Guards against callers that are refused while a part of the limit is idle.
TEST(AdmissionFill, underOverloadTheLimitIsInUseAndFewCallersAreRefusedWithRoom)
{
    const uint64_t seeds = seedCount();
    double fill = 0.0;
    int refusals = 0;
    int withRoom = 0;
    int passes = 0;
    int latePasses = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        const Outcome outcome = SimulatedService(randomScenario(seed)).play();
        const std::string text = "seed " + std::to_string(seed) + ": fill " + std::to_string(outcome.meanFill);
        CHECK_TEXT(outcome.meanFill >= 0.9, text.c_str());
        fill += outcome.meanFill / static_cast<double>(seeds);
        refusals += outcome.refusals;
        withRoom += outcome.refusalsWithRoom;
        passes += outcome.passes;
        latePasses += outcome.latePasses;
    }
    CHECK_TEXT(fill >= 0.95, ("mean fill " + std::to_string(fill)).c_str());
    CHECK_TEXT(withRoom <= refusals / 20, (std::to_string(withRoom) + " of " + std::to_string(refusals) + " refusals with room").c_str());
    CHECK_TEXT(latePasses <= passes / 10, (std::to_string(latePasses) + " of " + std::to_string(passes) + " passes late").c_str());
}

/// Guards against a kind of requests that turns into returning callers under a flood and is then served worse than a less urgent one.
TEST(AdmissionFill, noPriorityIsServedWorseThanALessUrgentOne)
{
    const uint64_t seeds = seedCount();
    std::array<double, PRIORITIES> served{};
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        Scenario scenario = randomScenario(seed);
        scenario.entries = 3 + static_cast<int>(seed % 20);
        scenario.mix[seed % PRIORITIES] += 0.5; // A flood of one of them.
        const Outcome outcome = SimulatedService(scenario).play();
        for (size_t priority = 0; priority + 1 < PRIORITIES; ++priority) {
            const double own = outcome.kinds[priority].fraction();
            const double next = outcome.kinds[priority + 1].fraction();
            const std::string text
                = "seed " + std::to_string(seed) + ", priority " + std::to_string(priority) + ": " + std::to_string(own) + " and " + std::to_string(next);
            CHECK_TEXT(own >= next - 0.05, text.c_str());
        }
        for (size_t priority = 0; priority < PRIORITIES; ++priority) {
            served[priority] += outcome.kinds[priority].fraction() / static_cast<double>(seeds);
            // Every priority is assured of a part, whoever floods the service.
            CHECK_TEXT(outcome.kinds[priority].fraction() >= 0.1, ("seed " + std::to_string(seed)).c_str());
        }
    }
    CHECK(served[0] >= served[1] && served[1] >= served[2]);
}
