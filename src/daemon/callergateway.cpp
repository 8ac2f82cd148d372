// Caller gateway.

#include "daemon/callergateway.h"

namespace daisymount::daemon
{

using entry::CallerApi;
using entry::CallerReply;
using framework::Duration;
using framework::ResultCode;
using framework::Ret;
using framework::RunState;

namespace
{
std::vector<std::pair<std::string, std::string>> replyHeaders(std::string_view request, const CallerReply &reply)
{
    std::vector<std::pair<std::string, std::string>> headers{{"X-Daisymount-Request", std::string(request)},
                                                             {"X-Daisymount-Code", std::to_string(static_cast<int>(reply.code))},
                                                             {"X-Daisymount-Ran", std::string(toString(reply.ran))}};
    if (reply.retryAfter > Duration{0}) {
        headers.emplace_back("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(reply.retryAfter).count()));
    }
    if (reply.replayed) {
        headers.emplace_back("X-Daisymount-Replayed", "true");
    }
    return headers;
}
} // namespace

CallerGateway::CallerGateway(std::string idPrefix, size_t maxBodyBytes) : idPrefix_(std::move(idPrefix)), maxBodyBytes_(maxBodyBytes)
{ }

void CallerGateway::setPort(std::unique_ptr<network::ReplyPort> port)
{
    port_ = std::move(port);
}

std::optional<entry::CallerRequest> CallerGateway::accept(const network::HttpRequest &http)
{
    const std::string id = idPrefix_ + std::to_string(++lastId_);
    CallerReply refusal;
    if (http.body.size() > maxBodyBytes_) {
        refusal.code = ResultCode::TooLarge;
        sendRefusal(http.exchange, id, refusal);
        return std::nullopt;
    }
    entry::ParsedCall call;
    const Ret parsed = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(call, entry::parseCall({http.method, http.path, http.headers, http.body}));
        return {};
    });
    if (!parsed) {
        refusal.code = parsed.code;
        sendRefusal(http.exchange, id, refusal);
        return std::nullopt;
    }
    call.request.id = id;
    open_[id] = {http.exchange, call.api, call.request.service, call.request.stream, false};
    requestOf_[http.exchange] = id;
    return call.request;
}

std::string CallerGateway::forget(network::ExchangeId exchange)
{
    const auto found = requestOf_.find(exchange);
    if (found == requestOf_.end()) {
        return {};
    }
    std::string request = found->second;
    requestOf_.erase(found);
    open_.erase(request);
    return request;
}

void CallerGateway::replyJson(network::ExchangeId exchange, int status, std::string body, std::string contentType)
{
    network::HttpReply reply;
    reply.status = status;
    reply.contentType = std::move(contentType);
    reply.body = std::move(body);
    port_->reply(exchange, reply);
}

void CallerGateway::refuse(network::ExchangeId exchange, ResultCode code, Duration retryAfter)
{
    CallerReply reply;
    reply.code = code;
    reply.retryAfter = retryAfter;
    sendRefusal(exchange, "", reply);
}

void CallerGateway::sendRefusal(network::ExchangeId exchange, std::string_view request, const CallerReply &reply)
{
    network::HttpReply http;
    http.status = framework::resultCodeInfo(reply.code).httpStatus;
    http.headers = replyHeaders(request, reply);
    http.body = entry::renderRefusal(request, reply);
    port_->reply(exchange, http);
}

void CallerGateway::onToken(std::string_view request, int64_t /*offset*/, std::string_view text)
{
    const auto found = open_.find(request);
    if (found == open_.end()) {
        return;
    }
    Open &open = found->second;
    if (!open.begun) {
        open.begun = true;
        port_->beginStream(open.exchange, 200, "text/event-stream");
    }
    const ResultCode sent = port_->sendChunk(open.exchange, entry::renderToken(open.api, request, open.model, text));
    if (sent != ResultCode::Ok) {
        // A token was lost: the caller must see that the answer is incomplete.
        port_->abort(open.exchange);
    }
}

void CallerGateway::onReply(std::string_view request, const CallerReply &reply)
{
    const auto found = open_.find(request);
    if (found == open_.end()) {
        return;
    }
    const Open open = found->second;
    const std::string id = found->first;
    requestOf_.erase(open.exchange);
    open_.erase(found);
    if (open.streaming && (open.begun || reply.code == ResultCode::Ok)) {
        finishStream(id, open, reply);
        return;
    }
    if (reply.code != ResultCode::Ok) {
        sendRefusal(open.exchange, id, reply);
        return;
    }
    network::HttpReply http;
    http.status = reply.status;
    http.headers = replyHeaders(id, reply);
    http.contentType = reply.contentType;
    http.body = open.api == CallerApi::Plain ? reply.body : entry::renderWhole(open.api, id, open.model, reply);
    port_->reply(open.exchange, http);
}

void CallerGateway::finishStream(const std::string &request, const Open &open, const CallerReply &reply)
{
    if (!open.begun) {
        port_->beginStream(open.exchange, 200, "text/event-stream");
    }
    if (reply.code == ResultCode::Ok) {
        port_->sendChunk(open.exchange, entry::renderStreamEnd());
        port_->endStream(open.exchange);
        return;
    }
    port_->sendChunk(open.exchange, "data: " + entry::renderRefusal(request, reply) + "\n\n");
    // Without the last chunk no client takes the answer for a complete one.
    port_->abort(open.exchange);
}

} // namespace daisymount::daemon
