// Judges what a site does around returns of the store from an older copy. Bounds count from the last acknowledgement of a write.

#pragma once

#include "framework/clock.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace daisymount::soak
{

/// Deterministic: times come in as parameters.
class StoreChecks
{
public:
    void onVersionAcknowledged(int64_t version, framework::Instant now);
    /// The version, or an evacuation, is gone from the store until it is acknowledged again.
    void onVersionLost();
    void onEvacuation(const std::string &zone, framework::Instant acknowledgedAt);
    void onEvacuationGone(const std::string &zone);
    void onReturn(framework::Instant now);

    /// A request has arrived at an upstream in @p zone.
    void judgeArrival(const std::string &requestId, const std::string &zone, framework::Instant now);
    /// A gateway that started at @p startedAt has told the version that is in force there, asked for it at @p askedAt.
    void judgeVersion(const std::string &gateway, framework::Instant startedAt, int64_t version, framework::Instant askedAt);
    /// A rank has answered an order.
    void judgeOrder(int rank, bool refusedForFencing, framework::Instant now);
    /// A gateway has sent orders with a fencing number.
    void judgeSender(int64_t fencing, const std::string &gateway);

    std::function<void(const std::string &)> onBroken = [](const std::string &) {};

private:
    struct Seen
    {
        framework::Instant startedAt{0};
        int64_t version = 0;
    };

    /// Tells of each kind of break at one place once.
    void tellOnce(const std::string &subject, const std::string &what);

    int64_t version_ = 0;
    std::optional<framework::Instant> versionSince_; ///< Empty while no acknowledged version is in the store.
    std::map<std::string, framework::Instant> evacuatedSince_; ///< By zone.
    std::map<std::string, Seen> versions_; ///< By gateway.
    std::optional<framework::Instant> lastReturn_;
    std::map<int, framework::Instant> refusingSince_; ///< By rank that refused its last order.
    std::map<int64_t, std::string> senders_; ///< By fencing number.
    std::set<std::string> told_;
};

} // namespace daisymount::soak
