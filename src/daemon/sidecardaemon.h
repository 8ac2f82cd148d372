// A sidecar process: the duty that guards one upstream and its adapters, joined to the control duty by bounded rings.

#pragma once

#include "daemon/controlduty.h"
#include "daemon/engineadapter.h"
#include "daemon/idaemon.h"
#include "sidecar/sidecarcore.h"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace daisymount::daemon
{

class SidecarDaemon : public IDaemon, public sidecar::IAttemptReplies
{
public:
    SidecarDaemon(const NodeSettings &settings, EventHistory &log);

    framework::Ret start() override;
    void drain() override;
    bool drained() const override;
    void stop() override;

    // IAttemptReplies, sidecar thread.
    void send(attempts::AttemptId attempt, const attempts::AttemptEvent &event) override;

private:
    struct ReplyTarget
    {
        network::ExchangeId exchange = 0;
        bool begun = false;
    };

    void onHttp(network::HttpRequest http);
    void onAttempt(const network::HttpRequest &http);
    void onRevoke(const network::HttpRequest &http);
    void onRecord(const membership::Record &record);
    void replyJson(network::ExchangeId exchange, int status, std::string body, std::string contentType = "application/json");
    void updateDraining();
    void tick();
    std::string renderMetrics();
    ControlDutyHooks controlHooks();

    const NodeSettings &settings_;
    network::HttpClient client_;
    network::DutyThread duty_;
    std::shared_ptr<network::Inbox> fromReactor_;
    std::shared_ptr<network::Inbox> fromControl_;
    ControlDuty control_;
    std::shared_ptr<network::Inbox> reactorToControl_;
    std::shared_ptr<network::Inbox> dutyToControl_;
    network::HttpServer server_;
    std::unique_ptr<network::ReplyPort> replies_;

    // Sidecar thread only.
    EngineAdapter engine_;
    sidecar::SidecarCore core_;
    std::map<attempts::AttemptId, ReplyTarget> targets_;
    std::map<network::ExchangeId, attempts::AttemptId> attemptOf_;
    attempts::AttemptId lastAttempt_ = 0;
    framework::Instant nextProbeAt_{0};
    bool vmLeaving_ = false; ///< The platform's list says so.
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Gauge> &gauges_;

    std::atomic<bool> draining_{false};
    std::atomic<int64_t> drainingSinceUs_{0};
    std::atomic<int64_t> inFlight_{0};
};

} // namespace daisymount::daemon
