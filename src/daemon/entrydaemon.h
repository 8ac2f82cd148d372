// An entry process: the request duty and its adapters, joined to the control duty by bounded rings.

#pragma once

#include "claims/claimsregistry.h"
#include "daemon/attempttransport.h"
#include "daemon/callergateway.h"
#include "daemon/controlduty.h"
#include "daemon/entrymetrics.h"
#include "daemon/idaemon.h"
#include "entry/entrycore.h"
#include "routing/router.h"
#include "slo/burnmeter.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace daisymount::daemon
{

class EntryDaemon : public IDaemon, public entry::IEntryPeers
{
public:
    EntryDaemon(const NodeSettings &settings, EventHistory &log);

    framework::Ret start() override;
    void drain() override;
    bool drained() const override;
    void stop() override;

    // IEntryPeers, request thread.
    void query(std::string_view entry, const entry::OwnerQuery &query) override;
    bool isAlive(std::string_view entry) const override;

private:
    void onHttp(network::HttpRequest http);
    void onAddresses(const network::HttpRequest &http);
    void onReady(network::ExchangeId exchange);
    void onMember(const membership::Member &member);
    void onRecord(const membership::Record &record);
    void onMessage(const std::string &method, const Json::Value &params);
    void onForward(const Json::Value &params);
    void onOutcome(const entry::RequestOutcome &outcome);
    void forward(std::string_view home, const claims::ForwardedRecord &record);
    void publish(std::string key, std::string value, bool urgent);
    void publishUsage(framework::Instant now);
    void snapshotBurn(framework::Instant now);
    void tick();
    std::vector<std::string> liveEntries() const;
    std::string addressOf(std::string_view member) const;
    ControlDutyHooks controlHooks();
    entry::EntryHooks entryHooks();
    void bindMethods();

    const NodeSettings &settings_;
    EventHistory &log_;
    network::HttpClient client_;
    network::DutyThread requests_;
    std::shared_ptr<network::Inbox> fromReactor_;
    std::shared_ptr<network::Inbox> fromControl_;
    ControlDuty control_;
    std::shared_ptr<network::Inbox> reactorToControl_;
    std::shared_ptr<network::Inbox> requestsToControl_;
    network::HttpServer server_;

    // Request thread only.
    platform::HttpPlatformStore store_;
    routing::Router router_;
    claims::ClaimsRegistry claims_;
    AttemptTransport transport_;
    CallerGateway callers_;
    EntryMetrics metrics_;
    slo::BurnMeter burn_;
    entry::EntryCore core_;
    config::Config config_;
    int64_t revision_ = 0;
    std::map<std::string, membership::Member, std::less<>> members_;
    framework::Instant nextPublishAt_{0};
    framework::Instant nextBurnAt_{0};
    std::string lastDemand_;
    std::string lastUsage_;

    std::mutex burnMutex_;
    Json::Value burnRows_{Json::arrayValue}; ///< Guarded by burnMutex_.

    std::atomic<bool> draining_{false};
    std::atomic<bool> refusing_{false}; ///< The answers that named this entry have expired.
    std::atomic<int64_t> drainEndsAtUs_{0};
    std::atomic<size_t> openRequests_{0};
};

} // namespace daisymount::daemon
