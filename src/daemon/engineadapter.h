// Adapter to the upstream behind a sidecar: a model engine that streams server-sent events, or a plain HTTP service.

#pragma once

#include "attempts/attemptcodec.h"
#include "network/httpclient.h"
#include "sidecar/isidecarports.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace daisymount::daemon
{

struct EngineHooks
{
    std::function<void(attempts::AttemptId attempt, const attempts::AttemptEvent &event)> event;
    std::function<void(std::optional<uint64_t> incarnation)> probed;
};

/// Belongs to the sidecar duty's thread.
class EngineAdapter : public sidecar::IEngineLink
{
public:
    EngineAdapter(std::string address, std::unique_ptr<network::ClientPort> port, EngineHooks hooks);

    /// Plain services have no load report: they are not probed, since any call could count as work. Nothing is probed before this is known.
    void setPlain(bool plain);

    void start(const attempts::AttemptRequest &request) override;
    void cancel(attempts::AttemptId attempt) override;
    void probe() override;

private:
    struct Live
    {
        network::CallId call = 0;
        bool model = true;
        int64_t nextOffset = 0;
        bool ended = false; ///< The engine's end marker was seen.
        attempts::EventSplitter splitter;
        int status = 0;
        std::string body;
    };

    network::HttpCall modelCall(const attempts::AttemptRequest &request) const;
    network::HttpCall plainCall(const attempts::AttemptRequest &request) const;
    void onData(attempts::AttemptId attempt, int status, std::string_view bytes);
    void onPayload(attempts::AttemptId attempt, Live &live, const std::string &payload);
    void onDone(attempts::AttemptId attempt, network::CallResult result, int status);

    std::string address_;
    std::unique_ptr<network::ClientPort> port_;
    EngineHooks hooks_;
    std::optional<bool> plain_; ///< Empty while the service is not known.
    std::optional<uint64_t> lastIncarnation_;
    std::map<attempts::AttemptId, Live> live_;
};

} // namespace daisymount::daemon
