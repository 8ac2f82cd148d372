// Carries attempts from an entry to sidecars over HTTP.

#pragma once

#include "attempts/attemptcodec.h"
#include "entry/ientryports.h"
#include "network/httpclient.h"

#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace daisymount::daemon
{

/// Belongs to the request duty's thread.
class AttemptTransport : public entry::IAttemptTransport
{
public:
    using EventHook = std::function<void(attempts::AttemptId attempt, const attempts::AttemptEvent &event)>;

    AttemptTransport(std::unique_ptr<network::ClientPort> port, EventHook events);

    void send(std::string_view address, const attempts::AttemptRequest &request) override;
    void cancel(attempts::AttemptId attempt) override;
    void revoke(std::string_view address, std::string_view key, uint64_t addressedTo, RevokeHandler handler) override;

private:
    struct Live
    {
        network::CallId call = 0;
        attempts::EventSplitter splitter;
    };

    void onData(attempts::AttemptId attempt, std::string_view bytes);
    void onDone(attempts::AttemptId attempt, network::CallResult result);
    void deliver(attempts::AttemptId attempt, const attempts::AttemptEvent &event);

    std::unique_ptr<network::ClientPort> port_;
    EventHook events_;
    std::map<attempts::AttemptId, Live> live_;
};

} // namespace daisymount::daemon
