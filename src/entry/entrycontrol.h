// An entry's side of the control plane: members, shared records and messages between entries, turned into calls of its cores.

#pragma once

#include "claims/claimsregistry.h"
#include "entry/entrycore.h"
#include "entry/ientryports.h"
#include "membership/membershiptypes.h"
#include "routing/irouter.h"

#include <json/json.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace daisymount::entry
{

struct EntryControlHooks
{
    /// Sends a datagram to a member's address.
    std::function<void(std::string_view address, const std::string &method, const Json::Value &params)> send;
    /// Spreads a record; urgent ones at once.
    std::function<void(const std::string &key, const std::string &value, bool urgent)> publish;
    std::function<int64_t()> unixMs;
};

/// Deterministic; belongs to the request duty.
class EntryControl : public IEntryPeers
{
public:
    EntryControl(std::string self, EntryControlHooks hooks);

    /// Parts that are made after this object, since they refer to it.
    void attach(EntryCore &core, routing::IRouter &router, claims::ClaimsRegistry &claims);

    void configure(const config::Config &config);
    void onMember(const membership::Member &member);
    void onRecord(const membership::Record &record, Instant now);
    /// BadMessage when @p params cannot be decoded; unknown methods are ignored.
    framework::Ret onMessage(const std::string &method, const Json::Value &params, Instant now);
    void onConvicted(quarantine::Fingerprint fingerprint);
    /// Publishes demand and usage when they have changed.
    void tick(Instant now);

    /// Names of live entries, this one included, sorted.
    std::vector<std::string> liveEntries() const;
    void forward(std::string_view home, const claims::ForwardedRecord &record);
    /// A few entry addresses for an organisation, the same ones each time while they live.
    std::vector<std::string> addressesFor(std::string_view organisation, bool draining) const;

    void query(std::string_view entry, const OwnerQuery &query) override;
    bool isAlive(std::string_view entry) const override;

private:
    std::string addressOf(std::string_view member) const;
    framework::Result<void> dispatch(const std::string &method, const Json::Value &params, Instant now);
    void onForward(const Json::Value &params, Instant now);

    std::string self_;
    EntryControlHooks hooks_;
    EntryCore *core_ = nullptr;
    routing::IRouter *router_ = nullptr;
    claims::ClaimsRegistry *claims_ = nullptr;
    config::Config config_;
    std::map<std::string, membership::Member, std::less<>> members_;
    std::vector<OwnerQuery> ownQueries_; ///< Questions to this entry itself, answered at the next tick.
    Instant nextPublishAt_{0};
    std::string lastDemand_;
    std::string lastUsage_;
};

} // namespace daisymount::entry
