// Property test of the evidence of several gateways against a model that knows every write, while the store comes back from older copies.
// Virtual time; answers and reports arrive late, out of order or never.

#include "configsync/configcurrency.h"
#include "storeera/eratracker.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace daisymount::configsync;
using daisymount::storeera::AnswerEra;
using daisymount::storeera::EraTracker;

namespace
{
constexpr unsigned SEEDS = 200;
constexpr milliseconds STEP{50};
constexpr int STEPS = 600;
constexpr int QUIET_STEPS = 200; ///< At the end nothing is written or lost any more.
constexpr size_t GATEWAYS = 4;
constexpr size_t MAX_COPIES = 20;
constexpr int COPY_STEPS = 10;

/// The configuration of the store, and the changes of it. Other keys only raise the revision.
struct StoreState
{
    int64_t revision = 1;
    ConfigRevision config{{1, 1}, 1};
    std::vector<ConfigRevision> changes{config};
    Instant copiedAt{0};
};

struct SimulatedGateway
{
    std::unique_ptr<ConfigCurrency> currency;
    std::unique_ptr<EraTracker> era;
    ConfigRevision config;
    bool asking = false;
    Instant frozenUntil{0};
};

class World
{
public:
    explicit World(unsigned seed) : random_(seed)
    {
        for (size_t i = 0; i < GATEWAYS; ++i) {
            start(i);
        }
    }

    /// Returns the first invariant that did not hold, or an empty text.
    std::string run()
    {
        for (int step = 0; step < STEPS + QUIET_STEPS && violation_.empty(); ++step) {
            quiet_ = step >= STEPS;
            now_ += STEP;
            runStore(step);
            for (size_t i = 0; i < GATEWAYS; ++i) {
                runGateway(i);
            }
        }
        for (const SimulatedGateway &gateway : gateways_) {
            // A peer's evidence also confirms a version that is known by its revision of a former era.
            if (gateway.config.version != store_.config.version) {
                fail("a gateway differs from the store in the end");
            }
            if (gateway.currency->isStale(now_)) {
                fail("a gateway that reads the store is stale in the end");
            }
        }
        return violation_;
    }

private:
    struct Message
    {
        Instant at{0};
        std::function<void()> deliver;
    };

    bool chance(unsigned oneIn)
    {
        return random_() % oneIn == 0;
    }

    milliseconds between(int from, int to)
    {
        return milliseconds{from + static_cast<int>(random_() % static_cast<unsigned>(to - from + 1))};
    }

    void fail(const std::string &text)
    {
        if (violation_.empty()) {
            violation_ = text + " at " + std::to_string(std::chrono::duration_cast<milliseconds>(now_ - Instant{0}).count()) + " ms";
        }
    }

    void write(int64_t version)
    {
        store_.config = {{storeEra_, ++store_.revision}, version};
        store_.changes.push_back(store_.config);
    }

    void runStore(int step)
    {
        if (step % COPY_STEPS == 0) {
            copies_.push_back(store_);
            copies_.back().copiedAt = now_;
            if (copies_.size() > MAX_COPIES) {
                copies_.pop_front();
            }
        }
        const bool hasOldCopy = now_ - copies_.front().copiedAt >= std::chrono::seconds{1};
        if (!quiet_ && hasOldCopy && chance(120)) {
            size_t chosen = random_() % copies_.size();
            while (now_ - copies_.at(chosen).copiedAt < std::chrono::seconds{1}) {
                --chosen;
            }
            store_ = copies_.at(chosen);
            copies_.clear();
            copies_.push_back(store_);
            copies_.back().copiedAt = now_;
            ++storeEra_;
            store_.config.revision.era = storeEra_;
            for (ConfigRevision &change : store_.changes) {
                change.revision.era = storeEra_;
            }
            operatorReturnsAt_ = now_ + between(100, 1'500);
        }
        if (now_ < operatorReturnsAt_) {
            return;
        }
        if (store_.config.version != version_) {
            write(version_);
        }
        if (!quiet_ && chance(15)) {
            write(++version_);
        }
        if (!quiet_ && chance(3)) {
            ++store_.revision;
        }
    }

    void start(size_t index)
    {
        SimulatedGateway &gateway = gateways_.at(index);
        gateway = {};
        ConfigCurrencyOptions options;
        options.seed = random_();
        gateway.currency = std::make_unique<ConfigCurrency>(options);
        gateway.era = std::make_unique<EraTracker>();
        ConfigCurrency *currency = gateway.currency.get();
        gateway.era->onNewEra = [currency](int64_t, int64_t era, std::string_view) { currency->onNewEra(era); };
        messages_.at(index).clear();
    }

    void send(size_t index, std::function<void()> deliver)
    {
        const milliseconds delay = quiet_ ? milliseconds{0} : chance(8) ? between(500, 3'000) : between(10, 200);
        messages_.at(index).push_back({now_ + delay, std::move(deliver)});
    }

    /// As the fleet view does: revisions order those of an era, versions those of different eras.
    static void apply(SimulatedGateway &gateway, const ConfigRevision &config)
    {
        const bool ofSameEra = config.revision.era == gateway.config.revision.era;
        const bool again = config.version == gateway.config.version && config.revision > gateway.config.revision;
        if (ofSameEra ? config.revision > gateway.config.revision : config.version > gateway.config.version || again) {
            gateway.config = config;
        }
        KeyRevisions own;
        own.config = gateway.config;
        gateway.currency->onApplied(own);
    }

    void askStore(size_t index)
    {
        SimulatedGateway &gateway = gateways_.at(index);
        gateway.asking = true;
        const int64_t after = gateway.currency->confirmedRevision();
        const bool lost = !quiet_ && chance(5);
        send(index, [this, &gateway, after, lost, askedEra = gateway.era->current(), askedAt = now_, era = storeEra_, state = store_] {
            gateway.asking = false;
            if (lost || gateway.era->onAnswer(era, "read") == AnswerEra::Outdated || (after != 0 && era != askedEra)) {
                gateway.currency->onStoreAsked(false, now_);
                return;
            }
            if (gateway.era->current() != era) {
                fail("an answer of another era was taken");
            }
            if (after == 0) {
                apply(gateway, state.config);
                gateway.currency->onKeysRead(state.revision, askedAt);
            } else if (after > state.revision) {
                gateway.currency->onHistoryGone();
            } else {
                int64_t last = 0;
                for (const ConfigRevision &change : state.changes) {
                    if (change.revision.revision > after) {
                        apply(gateway, change);
                        last = std::max(last, change.revision.revision);
                    }
                }
                gateway.currency->onChangesRead(last, state.revision, askedAt);
            }
            gateway.currency->onStoreAsked(true, now_);
            checkConfirmed(gateway);
        });
    }

    /// All changes of the era up to the confirmed revision are in force; otherwise they would never be asked for.
    void checkConfirmed(const SimulatedGateway &gateway)
    {
        if (gateway.era->current() != storeEra_) {
            return;
        }
        for (const ConfigRevision &change : store_.changes) {
            if (change.revision.revision <= gateway.currency->confirmedRevision() && change.version > gateway.config.version) {
                fail("a change was skipped");
            }
        }
    }

    void report(size_t from, size_t to)
    {
        const SimulatedGateway &sender = gateways_.at(from);
        SimulatedGateway &receiver = gateways_.at(to);
        send(to, [this, &receiver, era = sender.era->current(), report = sender.currency->report(now_), sentAt = now_] {
            receiver.era->onPeerEra(era, "peer");
            receiver.currency->onPeerReport(report, sentAt, now_);
            checkConfirmed(receiver);
        });
    }

    void fetch(size_t from, size_t to, const std::string &name)
    {
        SimulatedGateway &receiver = gateways_.at(to);
        receiver.asking = true;
        const bool lost = !quiet_ && chance(4);
        const SimulatedGateway &peer = gateways_.at(from);
        send(to, [this, &receiver, name, lost, era = peer.era->current(), config = peer.config] {
            receiver.asking = false;
            if (!lost) {
                receiver.era->onPeerEra(era, name);
                apply(receiver, config);
            }
            receiver.currency->onFetchEnded(name, !lost, now_);
        });
    }

    void runGateway(size_t index)
    {
        SimulatedGateway &gateway = gateways_.at(index);
        if (quiet_) {
            gateway.frozenUntil = now_;
        } else if (chance(300)) {
            start(index);
        } else if (chance(200)) {
            gateway.frozenUntil = now_ + between(1'000, 6'000);
        }
        if (now_ < gateway.frozenUntil) {
            return;
        }
        std::vector<Message> due;
        std::erase_if(messages_.at(index), [&](const Message &message) {
            if (message.at <= now_) {
                due.push_back(message);
            }
            return message.at <= now_;
        });
        for (const Message &message : due) {
            message.deliver();
        }
        if (chance(4)) {
            report(index, (index + 1 + random_() % (GATEWAYS - 1)) % GATEWAYS);
        }
        if (gateway.asking) {
            return;
        }
        std::vector<KeySource> sources;
        for (size_t i = 0; i < GATEWAYS; ++i) {
            KeyRevisions revisions;
            revisions.config = gateways_.at(i).config;
            if (i != index && chance(2) && now_ >= gateways_.at(i).frozenUntil) {
                sources.push_back({std::to_string(i), false, revisions});
            }
        }
        const SyncStep step = gateway.currency->next(sources, now_);
        if (step.action == SyncAction::AskStore) {
            askStore(index);
        } else if (step.action == SyncAction::FetchFromPeer) {
            fetch(static_cast<size_t>(std::stoi(step.peer)), index, step.peer);
        }
    }

    std::mt19937 random_;
    Instant now_{std::chrono::seconds{100}};
    bool quiet_ = false;
    std::string violation_;
    int64_t storeEra_ = 1;
    StoreState store_;
    std::deque<StoreState> copies_; ///< Oldest first.
    Instant operatorReturnsAt_{0};
    int64_t version_ = 1; ///< The newest that the operator has written.
    std::array<SimulatedGateway, GATEWAYS> gateways_;
    std::array<std::vector<Message>, GATEWAYS> messages_;
};
} // namespace

TEST_GROUP(ConfigCurrencyStoreReturn){};

TEST(ConfigCurrencyStoreReturn, invariantsHoldWhileTheStoreComesBackFromOlderCopies)
{
    for (unsigned seed = 1; seed <= SEEDS; ++seed) {
        const std::string violation = World(seed).run();
        CHECK_TEXT(violation.empty(), ("seed " + std::to_string(seed) + ": " + violation).c_str());
    }
}
