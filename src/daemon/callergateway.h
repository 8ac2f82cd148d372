// Callers' HTTP at an entry: parses requests, renders answers, keeps request ids and exchanges together.

#pragma once

#include "entry/callerparser.h"
#include "entry/entrytypes.h"
#include "network/httpserver.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace daisymount::daemon
{

/// Belongs to the request duty's thread.
class CallerGateway : public entry::ICallerSink
{
public:
    CallerGateway(std::string idPrefix, size_t maxBodyBytes);

    void setPort(std::unique_ptr<network::ReplyPort> port);

    /// Returns the request to run; refuses what cannot be parsed and returns nothing.
    std::optional<entry::CallerRequest> accept(const network::HttpRequest &http);
    /// Id of the request on @p exchange, empty when there is none; forgets it.
    std::string forget(network::ExchangeId exchange);
    void replyJson(network::ExchangeId exchange, int status, std::string body, std::string contentType = "application/json");
    /// Refuses a request that was not accepted.
    void refuse(network::ExchangeId exchange, framework::ResultCode code, framework::Duration retryAfter);

    void onToken(std::string_view request, int64_t offset, std::string_view text) override;
    void onReply(std::string_view request, const entry::CallerReply &reply) override;

private:
    struct Open
    {
        network::ExchangeId exchange = 0;
        entry::CallerApi api = entry::CallerApi::Completion;
        std::string model;
        bool streaming = false; ///< The caller asked for a stream.
        bool begun = false; ///< The head of the stream was sent.
    };

    void finishStream(const std::string &request, const Open &open, const entry::CallerReply &reply);
    void sendRefusal(network::ExchangeId exchange, std::string_view request, const entry::CallerReply &reply);

    std::string idPrefix_;
    size_t maxBodyBytes_;
    uint64_t lastId_ = 0;
    std::unique_ptr<network::ReplyPort> port_;
    std::map<std::string, Open, std::less<>> open_; ///< By request id.
    std::map<network::ExchangeId, std::string> requestOf_;
};

} // namespace daisymount::daemon
