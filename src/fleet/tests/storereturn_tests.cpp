// Property test of the fleet state of several gateways against a model that knows every write, while the store comes back from older copies.
// Virtual time; all answers of the store and of peers arrive late, out of order or never.

#include "fleet/fleetview.h"
#include "storeera/eratracker.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <sstream>

using namespace daisymount::fleet;
using daisymount::storeera::AnswerEra;
using daisymount::storeera::EraTracker;
using daisymount::storeera::StoreRevision;

namespace
{
constexpr unsigned SEEDS = 200;
constexpr milliseconds STEP{50};
constexpr int STEPS = 800;
constexpr int QUIET_STEPS = 200; ///< At the end nothing is written or lost any more.
constexpr milliseconds COPY_INTERVAL{500};
constexpr size_t MAX_COPIES = 20;
constexpr milliseconds ZONE_RETENTION{6'000};
constexpr milliseconds LONGEST_LOSS{1'500}; ///< Until a lost write is written again.
constexpr milliseconds LEAVING_TIME{1'000};
constexpr size_t GATEWAYS = 4;
constexpr size_t UPSTREAMS = 5;
constexpr size_t PAGE = 2;
const std::array<std::string, 3> ZONES{"a", "b", "c"};
const std::string NO_ZONE_CHANGE;

std::optional<FleetConfig> decodeConfig(std::string_view value)
{
    FleetConfig config;
    config.version = std::stoll(std::string(value));
    return config;
}

/// Decodes "BORN SEQUENCE STATE ADDRESS".
std::optional<Upstream> decodeUpstream(std::string_view id, std::string_view value)
{
    std::istringstream text{std::string(value)};
    std::string state;
    Upstream upstream;
    upstream.id = id;
    text >> upstream.bornMs >> upstream.sequence >> state >> upstream.address;
    upstream.state = state == "leaving" ? UpstreamState::Draining : UpstreamState::Ready;
    return upstream;
}

/// Revisions are those of the store's current era.
struct Item
{
    std::string value;
    int64_t revision = 0;
    Instant leaseEnd = Instant::max();
    Instant wantedAt{0}; ///< Of a zone: when the operator took it out of service, however often that was written.
};

/// A change of the configuration, or of a zone if it names one.
struct Change
{
    int64_t revision = 0;
    std::string zone;
    bool outOfService = false;
    Instant wantedAt{0};
    std::string config;
};

struct StoreState
{
    int64_t revision = 1;
    Item config{"1", 1};
    std::map<std::string, Item, std::less<>> zones;
    std::map<std::string, Item, std::less<>> upstreams;
    std::vector<Change> changes;
    Instant copiedAt{0};

    void writeConfig(int64_t version)
    {
        config = {std::to_string(version), ++revision};
        changes.push_back({revision, NO_ZONE_CHANGE, false, Instant{0}, config.value});
    }

    void writeZone(const std::string &zone, bool outOfService, Instant wantedAt)
    {
        ++revision;
        if (outOfService) {
            zones.insert_or_assign(zone, Item{"", revision, Instant::max(), wantedAt});
        } else {
            zones.erase(zone);
        }
        changes.push_back({revision, zone, outOfService, wantedAt, {}});
    }

    std::set<std::string> zonesOut() const
    {
        std::set<std::string> names;
        for (const auto &[name, item] : zones) {
            names.insert(name);
        }
        return names;
    }
};

/// One upstream process after the other at an address of its own.
struct SimulatedUpstream
{
    std::string id;
    int64_t bornMs = 0;
    int64_t sequence = 0;
    bool leaving = false;
    bool running = false;
    Instant until{0}; ///< When it begins to leave, ends or starts.
    Instant nextRenewal{0};
    int incarnations = 0;
};

struct SimulatedGateway
{
    std::unique_ptr<FleetView> view;
    std::unique_ptr<EraTracker> era;
    int64_t confirmedRevision = 0; ///< 0: all keys have to be read.
    Instant frozenUntil{0};
    // What the view has shown since its start.
    int64_t highestVersion = 0;
    StoreRevision zones{0, -1};
    StoreRevision list;
    std::map<std::string, Instant> outSince; ///< By zone.
    std::map<std::string, int64_t> toldIn; ///< Newest era in which a zone was told to be out of service.
    std::map<std::string, Instant> wantedAt; ///< When the operator wanted the last evacuation of a zone that was told.
    Instant retentionBegan{0};
    std::set<std::pair<std::string, int64_t>> leavingSeen; ///< Id and birth.
};

class World
{
public:
    explicit World(unsigned seed) : random_(seed)
    {
        for (SimulatedGateway &gateway : gateways_) {
            start(gateway);
        }
        for (size_t i = 0; i < UPSTREAMS; ++i) {
            upstreams_.at(i).until = now_ + between(0, 500);
        }
    }

    /// Returns the first invariant that did not hold, or an empty text.
    std::string run()
    {
        for (int step = 0; step < STEPS + QUIET_STEPS && violation_.empty(); ++step) {
            quiet_ = step >= STEPS;
            now_ += STEP;
            runStore();
            runOperator();
            for (size_t i = 0; i < UPSTREAMS; ++i) {
                runUpstream(i);
            }
            for (SimulatedGateway &gateway : gateways_) {
                runGateway(gateway);
            }
        }
        for (const SimulatedGateway &gateway : gateways_) {
            checkAgreement(gateway);
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

    void runStore()
    {
        std::erase_if(store_.upstreams, [this](const auto &entry) { return entry.second.leaseEnd <= now_; });
        if (now_ - lastCopyAt_ >= COPY_INTERVAL) {
            lastCopyAt_ = now_;
            copies_.push_back(store_);
            copies_.back().copiedAt = now_;
            if (copies_.size() > MAX_COPIES) {
                copies_.pop_front();
            }
        }
        const bool hasOldCopy = !copies_.empty() && now_ - copies_.front().copiedAt >= std::chrono::seconds{1};
        if (!quiet_ && hasOldCopy && chance(160)) {
            size_t chosen = random_() % copies_.size();
            while (now_ - copies_.at(chosen).copiedAt < std::chrono::seconds{1}) {
                --chosen;
            }
            store_ = copies_.at(chosen);
            copies_.clear();
            ++storeEra_;
            for (auto &[id, item] : store_.upstreams) {
                item.leaseEnd = now_ + FleetView::REGISTRATION_LIFETIME;
            }
            operatorReturnsAt_ = now_ + between(100, static_cast<int>(LONGEST_LOSS.count()));
            for (SimulatedUpstream &upstream : upstreams_) {
                upstream.nextRenewal = now_ + between(100, static_cast<int>(LONGEST_LOSS.count()));
            }
        }
    }

    void runOperator()
    {
        if (now_ < operatorReturnsAt_) {
            return;
        }
        if (store_.config.value != std::to_string(version_)) {
            store_.writeConfig(version_);
        }
        for (const std::string &zone : ZONES) {
            if (store_.zones.contains(zone) != wantedOut_.contains(zone)) {
                writeZone(zone);
            }
        }
        if (quiet_) {
            return;
        }
        if (chance(20)) {
            store_.writeConfig(++version_);
        }
        if (chance(20)) {
            const std::string &zone = ZONES.at(random_() % ZONES.size());
            if (wantedOut_.erase(zone) == 0) {
                wantedOut_[zone] = now_;
            } else {
                takenBackAt_[zone] = now_;
            }
            writeZone(zone);
        }
    }

    void writeZone(const std::string &zone)
    {
        const auto wanted = wantedOut_.find(zone);
        store_.writeZone(zone, wanted != wantedOut_.end(), wanted == wantedOut_.end() ? Instant{0} : wanted->second);
    }

    void write(SimulatedUpstream &upstream, size_t index)
    {
        const std::string value = std::to_string(upstream.bornMs) + " " + std::to_string(upstream.sequence) + (upstream.leaving ? " leaving " : " ready ")
            + "address" + std::to_string(index);
        store_.upstreams.insert_or_assign(upstream.id, Item{value, ++store_.revision, now_ + FleetView::REGISTRATION_LIFETIME});
        upstream.nextRenewal = now_ + milliseconds{1'000};
    }

    void runUpstream(size_t index)
    {
        SimulatedUpstream &upstream = upstreams_.at(index);
        if (!quiet_ && now_ >= upstream.until) {
            if (!upstream.running) {
                upstream.running = true;
                upstream.leaving = false;
                upstream.bornMs = std::chrono::duration_cast<milliseconds>(now_ - Instant{0}).count();
                upstream.sequence = 1;
                // Some keep their id, as a container that is started anew does.
                if (upstream.id.empty() || chance(2)) {
                    upstream.id = "u" + std::to_string(index) + "." + std::to_string(++upstream.incarnations);
                }
                upstream.until = now_ + between(2'000, 9'000);
                write(upstream, index);
            } else if (!upstream.leaving && !chance(4)) {
                upstream.leaving = true;
                ++upstream.sequence;
                upstream.until = now_ + LEAVING_TIME;
                write(upstream, index);
            } else {
                // A process that crashes leaves its entry to the lease.
                if (upstream.leaving) {
                    store_.upstreams.erase(upstream.id);
                    ++store_.revision;
                }
                upstream.running = false;
                upstream.until = now_ + between(300, 3'000);
            }
        }
        if (upstream.running && now_ >= upstream.nextRenewal) {
            const auto registered = store_.upstreams.find(upstream.id);
            const bool known = registered != store_.upstreams.end()
                && registered->second.value.starts_with(std::to_string(upstream.bornMs) + " " + std::to_string(upstream.sequence) + " ");
            if (known) {
                registered->second.leaseEnd = now_ + FleetView::REGISTRATION_LIFETIME;
                upstream.nextRenewal = now_ + milliseconds{1'000};
            } else {
                upstream.sequence += chance(2) ? 1 : 0;
                write(upstream, index);
            }
        }
    }

    void start(SimulatedGateway &gateway)
    {
        gateway = {};
        gateway.view = std::make_unique<FleetView>(FleetDecoder{decodeConfig, decodeUpstream});
        gateway.era = std::make_unique<EraTracker>();
        ++starts_[&gateway];
        gateway.era->onNewEra = [this, &gateway](int64_t, int64_t era, std::string_view) {
            gateway.confirmedRevision = 0;
            if (gateway.view->hasConfig()) {
                gateway.view->onNewEra(era, now_, ZONE_RETENTION);
                gateway.retentionBegan = now_;
            }
        };
    }

    void send(SimulatedGateway &gateway, std::function<void()> deliver)
    {
        if (!quiet_ && chance(5)) {
            return;
        }
        const milliseconds delay = quiet_ ? milliseconds{0} : chance(8) ? between(500, 4'000) : between(10, 300);
        messages_[&gateway].push_back({now_ + delay, [this, &gateway, started = starts_[&gateway], deliver = std::move(deliver)] {
                                           if (started == starts_[&gateway]) {
                                               deliver();
                                           }
                                       }});
    }

    /// An answer of the store as it is now.
    void answer(SimulatedGateway &gateway, std::function<void()> apply)
    {
        send(gateway, [this, &gateway, era = storeEra_, apply = std::move(apply)] {
            if (gateway.era->onAnswer(era, "read") == AnswerEra::Current) {
                apply();
            }
        });
    }

    void readKeys(SimulatedGateway &gateway)
    {
        answer(gateway, [this, &gateway, era = storeEra_, state = store_] {
            applyConfig(gateway, {"config", state.config.value, {era, state.config.revision}});
            gateway.view->applyZonesOut(state.zonesOut(), {era, state.revision});
            for (const auto &[zone, item] : state.zones) {
                tellEvacuation(gateway, zone, item.wantedAt, era);
            }
            gateway.confirmedRevision = std::max(gateway.confirmedRevision, state.revision);
        });
    }

    void readChanges(SimulatedGateway &gateway)
    {
        const int64_t after = gateway.confirmedRevision;
        std::vector<Change> changes;
        std::ranges::copy_if(store_.changes, std::back_inserter(changes), [after](const Change &change) { return change.revision > after; });
        const bool gone = after > store_.revision;
        answer(gateway, [this, &gateway, gone, after, era = storeEra_, changes = std::move(changes)] {
            // Zero also after a new era, in which the revision that was asked for means nothing.
            if (gateway.confirmedRevision == 0 || gone) {
                gateway.confirmedRevision = 0;
                return;
            }
            if (after > gateway.confirmedRevision) {
                return;
            }
            for (const Change &change : changes) {
                if (change.zone.empty()) {
                    applyConfig(gateway, {"config", change.config, {era, change.revision}});
                } else {
                    gateway.view->applyZoneChange(change.zone, change.outOfService, {era, change.revision});
                    tellEvacuation(gateway, change.zone, change.outOfService ? change.wantedAt : Instant{0}, change.outOfService ? era : 0);
                }
                gateway.confirmedRevision = std::max(gateway.confirmedRevision, change.revision);
            }
        });
    }

    static void tellEvacuation(SimulatedGateway &gateway, const std::string &zone, Instant wantedAt, int64_t era)
    {
        if (gateway.view->zoneOut(zone)) {
            gateway.wantedAt[zone] = std::max(gateway.wantedAt[zone], wantedAt);
            gateway.toldIn[zone] = std::max(gateway.toldIn[zone], era);
        }
    }

    /// Reads the upstreams by pages: entries of a later page may be newer than the list.
    void readUpstreams(SimulatedGateway &gateway)
    {
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->revision = {storeEra_, store_.revision};
        readPage(gateway, snapshot, "");
    }

    void readPage(SimulatedGateway &gateway, const std::shared_ptr<Snapshot> &snapshot, const std::string &after)
    {
        if (snapshot->revision.era != storeEra_) {
            return;
        }
        auto next = store_.upstreams.upper_bound(after);
        for (size_t i = 0; i < PAGE && next != store_.upstreams.end(); ++i, ++next) {
            snapshot->items.push_back({next->first, next->second.value, {storeEra_, next->second.revision}});
        }
        const bool more = next != store_.upstreams.end();
        answer(gateway, [this, &gateway, snapshot, more] {
            if (more) {
                readPage(gateway, snapshot, snapshot->items.back().key);
            } else if (snapshot->revision.era == gateway.era->current()) {
                gateway.view->applyUpstreams(*snapshot, now_);
            }
        });
    }

    void readPeer(SimulatedGateway &gateway)
    {
        const SimulatedGateway &peer = gateways_.at(random_() % GATEWAYS);
        if (&peer == &gateway || !peer.view->hasConfig() || now_ < peer.frozenUntil) {
            return;
        }
        send(gateway,
             [this, &gateway, era = peer.era->current(), config = peer.view->configItem(), zones = peer.view->storedZonesOut(),
              zonesRevision = peer.view->zonesRevision(), list = peer.view->upstreamItems(), wantedAt = peer.wantedAt] {
                 gateway.era->onPeerEra(era, "peer");
                 applyConfig(gateway, config);
                 gateway.view->applyZonesOut(zones, zonesRevision);
                 for (const std::string &zone : zones) {
                     tellEvacuation(gateway, zone, wantedAt.at(zone), zonesRevision.era);
                 }
                 gateway.view->applyUpstreams(list, now_);
             });
    }

    /// A version that was read is in force from then on, or a higher one.
    void applyConfig(SimulatedGateway &gateway, const StoredItem &item)
    {
        gateway.view->applyConfig(item);
        if (gateway.view->config()->version < std::stoll(item.value)) {
            fail("a configuration that was read is not in force");
        }
        if (item.value == std::to_string(version_) && item.revision.era == storeEra_ && gateway.era->current() == storeEra_
            && gateway.view->configRevision().era < storeEra_) {
            fail("a configuration that was written again is not known by its new revision");
        }
    }

    void runGateway(SimulatedGateway &gateway)
    {
        if (quiet_) {
            gateway.frozenUntil = now_;
        } else if (chance(400)) {
            start(gateway);
        } else if (chance(200)) {
            gateway.frozenUntil = now_ + between(1'000, 6'000);
        }
        if (now_ < gateway.frozenUntil) {
            return;
        }
        std::vector<Message> &messages = messages_[&gateway];
        std::vector<std::function<void()>> due;
        for (const Message &message : messages) {
            if (message.at <= now_) {
                due.push_back(message.deliver);
            }
        }
        std::erase_if(messages, [this](const Message &message) { return message.at <= now_; });
        for (const std::function<void()> &deliver : due) {
            deliver();
            check(gateway);
        }
        gateway.view->expire(now_);
        check(gateway);
        if (gateway.confirmedRevision == 0 || chance(20)) {
            readKeys(gateway);
        } else if (chance(2)) {
            readChanges(gateway);
        }
        if (chance(4)) {
            readUpstreams(gateway);
        }
        if (chance(8)) {
            readPeer(gateway);
        }
    }

    void check(SimulatedGateway &gateway)
    {
        const FleetView &view = *gateway.view;
        if (view.config()->version < gateway.highestVersion) {
            fail("an accepted configuration was replaced by a lower version");
        }
        gateway.highestVersion = view.config()->version;
        if (view.zonesRevision() < gateway.zones || view.upstreamsRevision() < gateway.list) {
            fail("news of an earlier era or revision has replaced later ones");
        }
        gateway.zones = view.zonesRevision();
        gateway.list = view.upstreamsRevision();
        for (const std::string &zone : ZONES) {
            checkZone(gateway, zone);
        }
        for (const auto &[id, known] : view.upstreams()) {
            const std::pair incarnation(id, known.upstream.bornMs);
            if (known.upstream.state == UpstreamState::Draining) {
                gateway.leavingSeen.insert(incarnation);
            } else if (gateway.leavingSeen.contains(incarnation)) {
                fail("an upstream that leaves is ready again: " + id);
            }
        }
    }

    void checkZone(SimulatedGateway &gateway, const std::string &zone)
    {
        const auto out = gateway.outSince.find(zone);
        if (gateway.view->zoneOut(zone)) {
            gateway.outSince.emplace(zone, now_);
            return;
        }
        if (out == gateway.outSince.end()) {
            return;
        }
        const bool takenBack = takenBackAt_[zone] > gateway.wantedAt[zone];
        const bool retentionEnded = gateway.toldIn[zone] < gateway.era->current() && now_ >= gateway.retentionBegan + ZONE_RETENTION;
        if (!takenBack && !retentionEnded) {
            fail("a zone that is out of service is used: " + zone);
        }
        gateway.outSince.erase(out);
    }

    void checkAgreement(const SimulatedGateway &gateway)
    {
        const FleetView &view = *gateway.view;
        if (view.config()->version != version_ || view.configRevision() != StoreRevision(storeEra_, store_.config.revision)) {
            fail("the configuration differs from that of the store in the end");
        }
        if (view.zonesOut() != store_.zonesOut()) {
            fail("the zones differ from those of the store in the end");
        }
        std::map<std::string, std::string> known;
        for (const auto &[id, entry] : view.upstreams()) {
            known[id] = std::to_string(entry.upstream.bornMs) + " " + std::to_string(entry.upstream.sequence)
                + (entry.upstream.state == UpstreamState::Draining ? " leaving " : " ready ") + entry.upstream.address;
        }
        std::map<std::string, std::string> stored;
        for (const auto &[id, item] : store_.upstreams) {
            stored[id] = item.value;
        }
        if (known != stored) {
            fail("the upstreams differ from those of the store in the end");
        }
    }

    std::mt19937 random_;
    Instant now_{std::chrono::seconds{100}};
    bool quiet_ = false;
    std::string violation_;
    int64_t storeEra_ = 1;
    StoreState store_;
    std::deque<StoreState> copies_; ///< Oldest first.
    Instant lastCopyAt_{0};
    Instant operatorReturnsAt_{0};
    int64_t version_ = 1; ///< The newest that the operator has written.
    std::map<std::string, Instant> wantedOut_; ///< Zones that the operator has taken out of service, with the time.
    std::map<std::string, Instant> takenBackAt_; ///< When the operator last took a zone back.
    std::array<SimulatedUpstream, UPSTREAMS> upstreams_;
    std::array<SimulatedGateway, GATEWAYS> gateways_;
    std::map<const SimulatedGateway *, int> starts_;
    std::map<const SimulatedGateway *, std::vector<Message>> messages_;
};
} // namespace

TEST_GROUP(FleetStoreReturn){};

TEST(FleetStoreReturn, invariantsHoldWhileTheStoreComesBackFromOlderCopies)
{
    for (unsigned seed = 1; seed <= SEEDS; ++seed) {
        const std::string violation = World(seed).run();
        CHECK_TEXT(violation.empty(), ("seed " + std::to_string(seed) + ": " + violation).c_str());
    }
}
