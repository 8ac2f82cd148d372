// Closed-loop property test: several crashing prompt parts beside sound ones, sent at any entry, while updates are lost, repeated and
// reordered, entries restart and upstreams also crash for other reasons.

#include "crashattribution/crashattribution.h"

#include "framework/hash.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <ranges>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace daisymount;
using namespace daisymount::crashattribution;

namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds TICK{50};
constexpr milliseconds ROUND_INTERVAL{300};
constexpr milliseconds CONTACT_BOUND{3'000};
constexpr size_t CRASHES_TO_RECOGNISE = 5;
/// The same for requests that crash upstreams as a whole; it is the bound that callers are promised.
constexpr size_t REQUEST_CRASHES_TO_RECOGNISE = 3;
/// Crashes from which trials of whole requests and of parts are limited.
constexpr size_t REQUEST_CRASHES_TO_LIMIT = 2;
constexpr size_t PART_CRASHES_TO_LIMIT = 1;
constexpr size_t MAX_SENDS_AFTER_CONTACT = 3;
constexpr milliseconds RESTART_TIME{800};
constexpr milliseconds CUT_TIME{5'000};
constexpr milliseconds TIME_TO_CRASH{80};
constexpr milliseconds SOUND_DURATION{200};
constexpr double LOSS_PROBABILITY = 0.2;
constexpr double DUPLICATE_PROBABILITY = 0.2;
constexpr unsigned MAX_DELAY_TICKS = 3;
/// Sound requests start before the crashing ones, as in operation.
constexpr seconds WARM_UP{5};
constexpr Fingerprint CRASHING = 1'000;
constexpr Fingerprint SOUND = 2'000;
constexpr Fingerprint RARE = 3'000;
constexpr Fingerprint COMMON = 1;

struct Load
{
    size_t entries = 4;
    size_t upstreams = 8;
    size_t crashing = 1; ///< Number of crashing parts.
    double crashingPerSecond = 4.0; ///< Requests with each of them.
    size_t sound = 6; ///< Number of sound parts, requested all the time.
    double soundPerSecond = 2.0; ///< Requests with each of them.
    bool otherCrashes = false;
    bool restarts = false;
    bool cuts = false; ///< Groups of entries are cut off from the others for CUT_TIME.
    size_t fanout = 6;
    bool wholeRequests = false; ///< The requests have no common part, and each is judged as a whole.
    seconds duration{40};
};

class Site
{
public:
    Site(const Load &load, uint64_t seed) : load_(load), random_(static_cast<unsigned>(seed * 7'919 + 1)), seed_(seed), upstreams_(load.upstreams)
    {
        for (size_t i = 0; i < load.entries; ++i) {
            entries_.emplace_back(CrashAttributionOptions{.seed = seed + i});
            cutUntil_.emplace_back(0);
        }
    }

    void play()
    {
        const Instant start = now;
        while (now < start + WARM_UP + load_.duration) {
            now += TICK;
            restartUpstreams();
            finishRequests();
            if (now >= start + WARM_UP) {
                sendCrashing();
                disturb();
            }
            sendSound();
            deliver();
            if ((now - start).count() % std::chrono::duration_cast<Duration>(ROUND_INTERVAL).count() == 0) {
                exchangeUpdates();
            }
        }
    }

    void check() const
    {
        Instant recognised{0};
        for (const auto &[part, crashes] : crashes_) {
            const Instant from = crashes[std::min(crashes.size(), crashesToRecognise()) - 1] + CONTACT_BOUND;
            recognised = std::max(recognised, from + CONTACT_BOUND);
            const auto &sends = sends_.at(part);
            const auto later = std::ranges::count_if(sends, [from](Instant at) { return at > from; });
            CHECK_TRUE_TEXT(static_cast<size_t>(later) <= MAX_SENDS_AFTER_CONTACT,
                            ("seed " + std::to_string(seed_) + " part " + std::to_string(part) + " sent " + std::to_string(later) + " times more, "
                             + std::to_string(crashes.size()) + " crashes")
                                .c_str());
        }
        const auto isCounted = [recognised](const SoundRequest &request) { return request.sentAt > recognised; };
        const auto sent = std::ranges::count_if(sound_, isCounted);
        const auto limited = std::ranges::count_if(sound_, [&](const SoundRequest &request) { return isCounted(request) && request.limited; });
        CHECK_TRUE_TEXT(limited * 2 <= sent,
                        ("seed " + std::to_string(seed_) + " " + std::to_string(limited) + " of " + std::to_string(sent) + " sound requests limited").c_str());
        CHECK_TRUE_TEXT(wronglyConvicted_.empty(), ("seed " + std::to_string(seed_) + " sound part convicted").c_str());
    }

    Instant now = seconds{1'000};

private:
    struct SoundRequest
    {
        Instant sentAt{0};
        bool limited = false; ///< Refused because of a suspect or a conviction.
    };

    struct Request
    {
        size_t entry = 0;
        std::vector<Fingerprint> parts;
        Instant sentAt{0};
        Instant endsAt{0};
        bool crashes = false;
        std::optional<Fingerprint> trialOf; ///< Suspect that the request is a trial of.
    };

    struct SimulatedUpstream
    {
        int64_t born = 1;
        Instant upAt{0};
        std::vector<Request> running;
    };

    struct Message
    {
        size_t to = 0;
        Instant due{0};
        CrashUpdate update;
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < probability;
    }

    size_t crashesToRecognise() const
    {
        return load_.wholeRequests ? REQUEST_CRASHES_TO_RECOGNISE : CRASHES_TO_RECOGNISE;
    }

    /// Fingerprint of the request or part with @p number. Intervals of trials are spread by the fingerprints of requests, which are hashes.
    Fingerprint fingerprintOf(Fingerprint number) const
    {
        return load_.wholeRequests ? framework::hash64(std::to_string(number)) : number;
    }

    /// What is judged of a request with the part @p number.
    std::vector<Fingerprint> judgedParts(Fingerprint number) const
    {
        return load_.wholeRequests ? std::vector{fingerprintOf(number)} : std::vector{COMMON, number};
    }

    static double perTick(double perSecond)
    {
        return perSecond * static_cast<double>(TICK.count()) / 1'000.0;
    }

    void restartUpstreams()
    {
        for (SimulatedUpstream &upstream : upstreams_) {
            if (upstream.upAt > now - TICK && upstream.upAt <= now) {
                ++upstream.born;
            }
        }
    }

    void crash(size_t index)
    {
        SimulatedUpstream &upstream = upstreams_[index];
        if (upstream.upAt > now) {
            return;
        }
        const UpstreamIncarnation incarnation{"u" + std::to_string(index), upstream.born};
        upstream.upAt = now + RESTART_TIME;
        const std::vector<Request> interrupted = std::move(upstream.running);
        upstream.running.clear();
        for (const Request &request : interrupted) {
            endTrial(request);
            CrashAttribution &entry = entries_[request.entry];
            bool anySuspect = false;
            for (const Fingerprint part : request.parts) {
                if (!entry.isCleared(part, now)) {
                    entry.onCrash(part, incarnation, request.sentAt, now, now);
                    anySuspect = true;
                }
            }
            if (anySuspect) {
                sendUpdate(request.entry);
            }
        }
    }

    void finishRequests()
    {
        for (size_t i = 0; i < upstreams_.size(); ++i) {
            std::set<Fingerprint> causes;
            for (const Request &request : upstreams_[i].running) {
                if (request.crashes && request.endsAt <= now) {
                    causes.insert(request.parts.back());
                }
            }
            if (!causes.empty()) {
                for (const Fingerprint cause : causes) {
                    crashes_[cause].push_back(now);
                }
                crash(i);
                continue;
            }
            std::erase_if(upstreams_[i].running, [&](const Request &request) {
                if (request.endsAt > now) {
                    return false;
                }
                endTrial(request);
                for (const Fingerprint part : request.parts) {
                    entries_[request.entry].onAnswered(part, now);
                }
                return true;
            });
        }
    }

    void endTrial(const Request &request)
    {
        if (request.trialOf) {
            trials_.erase({request.entry, *request.trialOf});
        }
    }

    bool isCut(size_t entry) const
    {
        return now < cutUntil_[entry];
    }

    /// Counts the request that was sent last, unless its entry has been cut off within the contact bound.
    void countSend(Fingerprint part)
    {
        sends_[part];
        if (now >= cutUntil_[lastSender_] + CONTACT_BOUND) {
            sends_[part].push_back(now);
        }
    }

    /// Sends a request at a random entry, under the limits that the entry knows. Returns true if it reached an upstream.
    bool send(std::vector<Fingerprint> parts, bool crashes)
    {
        if (!crashes) {
            sound_.push_back({now, true});
        }
        const size_t number = random_() % entries_.size();
        lastSender_ = number;
        const CrashAttribution &entry = entries_[number];
        std::optional<TrialLimit> limit;
        for (const Fingerprint part : parts) {
            if (entry.status(part, now) == CrashStatus::Convicted) {
                return false;
            }
            const std::optional<TrialLimit> partLimit = entry.trialLimit(part, load_.wholeRequests ? REQUEST_CRASHES_TO_LIMIT : PART_CRASHES_TO_LIMIT, now);
            if (partLimit && (!limit || partLimit->crashes > limit->crashes)) {
                limit = partLimit;
            }
        }
        std::vector<size_t> up;
        for (size_t i = 0; i < upstreams_.size(); ++i) {
            if (upstreams_[i].upAt <= now) {
                up.push_back(i);
            }
        }
        if (up.empty()) {
            if (!crashes) {
                sound_.pop_back();
            }
            return false;
        }
        size_t chosen = up[random_() % up.size()];
        if (limit) {
            const auto rank = [&](size_t index) { return framework::hash64(std::to_string(index), limit->suspect); };
            const auto before = std::ranges::count_if(std::views::iota(size_t{0}, entries_.size()), [&](size_t other) { return rank(other) > rank(number); });
            // Each entry has one trial of a suspect in flight.
            if (static_cast<size_t>(before) >= limit->entries || !trials_.emplace(number, limit->suspect).second) {
                return false;
            }
            chosen = *std::ranges::max_element(up, {}, rank);
        }
        if (!crashes) {
            sound_.back().limited = false;
        }
        upstreams_[chosen].running.push_back(
            {number, std::move(parts), now, now + (crashes ? TIME_TO_CRASH : SOUND_DURATION), crashes, limit ? std::optional(limit->suspect) : std::nullopt});
        return true;
    }

    void sendCrashing()
    {
        for (Fingerprint part = CRASHING; part < CRASHING + load_.crashing; ++part) {
            if (chance(perTick(load_.crashingPerSecond)) && send(judgedParts(part), true)) {
                countSend(fingerprintOf(part));
            }
        }
    }

    void sendSound()
    {
        for (Fingerprint part = SOUND; part < SOUND + load_.sound; ++part) {
            if (chance(perTick(load_.soundPerSecond))) {
                send(judgedParts(part), false);
            }
        }
        if (chance(perTick(1.0))) {
            send(judgedParts(RARE + random_() % 500), false);
        }
    }

    void disturb()
    {
        if (load_.otherCrashes && chance(perTick(0.3))) {
            crash(random_() % upstreams_.size());
        }
        if (load_.otherCrashes && chance(perTick(0.1))) {
            for (size_t i = 0; i < upstreams_.size() / 2; ++i) {
                crash(i);
            }
        }
        if (load_.cuts && chance(perTick(0.1))) {
            for (Instant &until : cutUntil_) {
                until = chance(0.5) ? now + CUT_TIME : until;
            }
        }
        if (load_.restarts && chance(perTick(0.1))) {
            entries_[random_() % entries_.size()] = CrashAttribution(CrashAttributionOptions{.seed = random_()});
        }
    }

    void sendUpdate(size_t from)
    {
        const CrashUpdate update = entries_[from].nextUpdate(now);
        for (size_t i = 0; i < load_.fanout && !update.empty(); ++i) {
            const int copies = (chance(LOSS_PROBABILITY) ? 0 : 1) + (chance(DUPLICATE_PROBABILITY) ? 1 : 0);
            for (int copy = 0; copy < copies; ++copy) {
                const size_t to = random_() % entries_.size();
                if (isCut(from) != isCut(to)) {
                    continue;
                }
                inTransit_.push_back({to, now + TICK * (random_() % (MAX_DELAY_TICKS + 1)), update});
            }
        }
    }

    void deliver()
    {
        std::ranges::shuffle(inTransit_, random_);
        for (const Message &message : inTransit_) {
            if (message.due <= now) {
                entries_[message.to].merge(message.update, now);
            }
        }
        std::erase_if(inTransit_, [this](const Message &message) { return message.due <= now; });
    }

    void exchangeUpdates()
    {
        for (size_t i = 0; i < entries_.size(); ++i) {
            entries_[i].evaluate(now);
            for (const Fingerprint first : {SOUND, RARE}) {
                for (Fingerprint part = first; part < first + 500; ++part) {
                    if (entries_[i].status(fingerprintOf(part), now) == CrashStatus::Convicted) {
                        wronglyConvicted_.insert(part);
                    }
                }
            }
            if (entries_[i].status(COMMON, now) == CrashStatus::Convicted) {
                wronglyConvicted_.insert(COMMON);
            }
            sendUpdate(i);
        }
    }

    Load load_;
    std::minstd_rand random_;
    uint64_t seed_;
    std::vector<CrashAttribution> entries_;
    std::vector<SimulatedUpstream> upstreams_;
    std::vector<Message> inTransit_;
    std::set<std::pair<size_t, Fingerprint>> trials_; ///< In flight, by entry.
    std::vector<Instant> cutUntil_; ///< By entry.
    size_t lastSender_ = 0;
    std::map<Fingerprint, std::vector<Instant>> sends_; ///< Times of requests at upstreams, by crashing part.
    std::map<Fingerprint, std::vector<Instant>> crashes_; ///< Times of crashes, by crashing part.
    std::vector<SoundRequest> sound_;
    std::set<Fingerprint> wronglyConvicted_;
};

void checkSeeds(const Load &load, uint64_t seeds)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        Site site(load, seed);
        site.play();
        site.check();
    }
}
} // namespace

TEST_GROUP(Trials){};

TEST(Trials, oneCrashingPartIsRecognised)
{
    checkSeeds({}, 200);
}

TEST(Trials, crashingPartIsRecognisedAtHighAndLowRates)
{
    checkSeeds({.crashingPerSecond = 16.0}, 50);
    checkSeeds({.crashingPerSecond = 0.5}, 50);
}

TEST(Trials, crashingPartIsRecognisedByTwoEntriesAndByMany)
{
    checkSeeds({.entries = 2}, 50);
    checkSeeds({.entries = 149, .upstreams = 60, .crashingPerSecond = 8.0, .fanout = 17, .duration = seconds{20}}, 2);
}

TEST(Trials, crashingPartIsRecognisedBesideOtherCrashesAndRestarts)
{
    checkSeeds({.otherCrashes = true, .restarts = true}, 200);
}

TEST(Trials, crashingPartIsRecognisedWhileEntriesAreCutOff)
{
    checkSeeds({.entries = 7, .restarts = true, .cuts = true}, 200);
}

TEST(Trials, severalCrashingPartsAreRecognised)
{
    for (const size_t crashing : {size_t{2}, size_t{4}, size_t{8}, size_t{16}}) {
        checkSeeds({.crashing = crashing, .crashingPerSecond = 1.0}, 25);
    }
    checkSeeds({.crashing = 3, .crashingPerSecond = 4.0, .otherCrashes = true}, 25);
}

TEST(Trials, severalCrashingRequestsAreRecognised)
{
    for (const size_t crashing : {size_t{1}, size_t{3}, size_t{8}}) {
        checkSeeds({.entries = 3, .upstreams = 6, .crashing = crashing, .crashingPerSecond = 1.2, .sound = 18, .wholeRequests = true}, 25);
    }
}

// Guards against a request that goes on crashing upstreams since so many others do at the same time that no crash counts against it.
TEST(Trials, sixteenCrashingRequestsAreRecognised)
{
    for (const double perSecond : {0.5, 4.0, 16.0}) {
        checkSeeds({.entries = 3, .upstreams = 6, .crashing = 16, .crashingPerSecond = perSecond, .sound = 18, .soundPerSecond = 4.0, .wholeRequests = true},
                   25);
    }
}
