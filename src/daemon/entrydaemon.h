// An entry process: the request duty and its adapters, joined to the control duty by bounded rings.

#pragma once

#include "claims/claimsregistry.h"
#include "daemon/attempttransport.h"
#include "daemon/callergateway.h"
#include "daemon/controlduty.h"
#include "daemon/entrymetrics.h"
#include "daemon/idaemon.h"
#include "entry/entrycontrol.h"
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

class EntryDaemon : public IDaemon
{
public:
    EntryDaemon(const NodeSettings &settings, EventHistory &log);

    framework::Ret start() override;
    void drain() override;
    bool drained() const override;
    void stop() override;

private:
    void onHttp(network::HttpRequest http);
    void onAddresses(const network::HttpRequest &http);
    void onReady(network::ExchangeId exchange);
    void onMessage(const std::string &method, const Json::Value &params);
    void onOutcome(const entry::RequestOutcome &outcome);
    void publish(const std::string &key, const std::string &value, bool urgent);
    void snapshotBurn(framework::Instant now);
    void tick();
    ControlDutyHooks controlHooks();
    entry::EntryControlHooks entryControlHooks();
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
    store::HttpPlatformStore store_;
    entry::EntryControl entryControl_;
    routing::Router router_;
    claims::ClaimsRegistry claims_;
    AttemptTransport transport_;
    CallerGateway callers_;
    EntryMetrics metrics_;
    slo::BurnMeter burn_;
    entry::EntryCore core_;
    config::Config config_;
    int64_t revision_ = 0;
    framework::Instant nextBurnAt_{0};

    std::mutex burnMutex_;
    Json::Value burnRows_{Json::arrayValue}; ///< Guarded by burnMutex_.

    std::atomic<bool> draining_{false};
    std::atomic<bool> refusing_{false}; ///< The answers that named this entry have expired.
    std::atomic<int64_t> drainEndsAtUs_{0};
    std::atomic<size_t> openRequests_{0};
};

} // namespace daisymount::daemon
