// Bounds on versions, evacuations and fencing numbers.

#include "soak/storechecks.h"

#include <algorithm>

namespace daisymount::soak
{

namespace
{
using framework::Instant;
using framework::milliseconds;

constexpr milliseconds APPLY_BOUND{2'000};
constexpr milliseconds EVACUATION_BOUND{5'000};
constexpr milliseconds FENCING_BOUND{5'000};

int64_t toMs(framework::Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}
} // namespace

void StoreChecks::onVersionAcknowledged(int64_t version, Instant now)
{
    version_ = version;
    versionSince_ = now;
}

void StoreChecks::onVersionLost()
{
    versionSince_.reset();
}

void StoreChecks::onEvacuation(const std::string &zone, Instant acknowledgedAt)
{
    evacuatedSince_[zone] = acknowledgedAt;
}

void StoreChecks::onEvacuationGone(const std::string &zone)
{
    evacuatedSince_.erase(zone);
}

void StoreChecks::onReturn(Instant now)
{
    lastReturn_ = now;
    refusingSince_.clear();
}

void StoreChecks::judgeArrival(const std::string &requestId, const std::string &zone, Instant now)
{
    const auto evacuated = evacuatedSince_.find(zone);
    if (evacuated != evacuatedSince_.end() && now > evacuated->second + EVACUATION_BOUND) {
        onBroken("evacuation: " + requestId + " reached zone " + zone + " " + std::to_string(toMs(now - evacuated->second))
                 + " ms after the store had acknowledged its evacuation");
    }
}

void StoreChecks::judgeVersion(const std::string &gateway, Instant startedAt, int64_t version, Instant askedAt)
{
    Seen &seen = versions_[gateway];
    if (seen.startedAt != startedAt) {
        seen = {startedAt, version};
    }
    if (version < seen.version) {
        tellOnce(gateway + " regress " + std::to_string(version),
                 "version: " + gateway + " went back from version " + std::to_string(seen.version) + " to " + std::to_string(version));
    }
    seen.version = std::max(seen.version, version);
    // The bound holds for a process that was there all the time.
    const bool late = versionSince_ && version < version_ && askedAt > std::max(*versionSince_, startedAt) + APPLY_BOUND;
    if (late) {
        tellOnce(gateway + " late " + std::to_string(version_),
                 "version: " + gateway + " has version " + std::to_string(version) + " in force " + std::to_string(toMs(askedAt - *versionSince_))
                     + " ms after the store had acknowledged version " + std::to_string(version_));
    }
}

void StoreChecks::judgeOrder(int rank, bool refusedForFencing, Instant now)
{
    if (!lastReturn_ || !refusedForFencing) {
        refusingSince_.erase(rank);
        return;
    }
    const Instant since = refusingSince_.try_emplace(rank, now).first->second;
    if (now > since + FENCING_BOUND) {
        tellOnce("rank " + std::to_string(rank) + " refuses since " + std::to_string(lastReturn_->count()),
                 "fencing: rank " + std::to_string(rank) + " refuses orders for their fencing number for " + std::to_string(toMs(now - since)) + " ms");
    }
}

void StoreChecks::judgeSender(int64_t fencing, const std::string &gateway)
{
    const auto known = senders_.try_emplace(fencing, gateway).first;
    if (known->second != gateway) {
        tellOnce("sender " + std::to_string(fencing) + gateway,
                 "fencing: " + known->second + " and " + gateway + " sent orders with the same fencing number " + std::to_string(fencing));
    }
}

void StoreChecks::tellOnce(const std::string &subject, const std::string &what)
{
    if (told_.insert(subject).second) {
        onBroken(what);
    }
}

} // namespace daisymount::soak
