// A gateway process: serves callers, the directory, readiness and metrics, and connects to the store and peers, on one reactor thread.

#pragma once

#include "gateway/convictionstore.h"
#include "gateway/gatewaycontext.h"
#include "gateway/mapcontroller.h"
#include "gateway/peerlink.h"
#include "gateway/storesync.h"
#include "transport/httpserver.h"
#include "transport/tasks.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <string>

namespace daisymount::gateway
{

class Gateway
{
public:
    /// Reads the settings again, on SIGHUP or when periodic polling finds a change.
    using SettingsReader = std::function<framework::Result<fleet::NodeSettings>()>;

    Gateway(const fleet::NodeSettings &settings, SettingsReader reader);

    /// Runs the reactor until a graceful shutdown is complete.
    /// Serves until a shutdown. Returns false if the process shut down because one of its loops failed again and again.
    bool run();

private:
    void listen();
    void onTaskFailure(const transport::TaskFailure &failure);
    void watchSignals();
    void onFleetChange();
    transport::ServerResponse directoryPage(const transport::ServerRequest &request);
    transport::ServerResponse readyPage() const;
    bool ready() const;
    void startDraining(int signal);
    void reload();
    transport::asio::awaitable<void> drain();
    /// Logs what became of the requests since SIGTERM, and each one that the end of the process cuts.
    void reportExit();
    transport::asio::awaitable<void> housekeeping();
    void updateGauges();

    transport::asio::io_context reactor_;
    SettingsReader reader_;
    GatewayContext context_;
    StoreSync storeSync_;
    PeerLink peerLink_;
    ConvictionStore convictionStore_;
    MapController mapController_;
    transport::asio::signal_set signals_;
    transport::AcceptorPtr callerAcceptor_;
    bool wasReady_ = false;
    bool loopFailed_ = false; ///< The process shuts down because one of its loops failed again and again.
};

} // namespace daisymount::gateway
