// Sends calls to the store and evaluates the era of the answers.

#include "gateway/storeclient.h"

#include "gateway/gatewaycontext.h"

namespace daisymount::gateway
{

namespace asio = transport::asio;
using framework::ResultCode;

StoreClient::StoreClient(GatewayContext &context) : context_(context)
{ }

asio::awaitable<StoreReply> StoreClient::call(transport::HttpCaller &caller, std::string_view name, platform::HttpCall call, framework::milliseconds timeout,
                                              uint64_t maxReplyBytes)
{
    const framework::Instant begin = framework::monotonicNow();
    transport::HttpReply reply = co_await caller.call(context_.settings.store.address, call.method, call.target, call.body, timeout, {}, maxReplyBytes);
    context_.metrics.onStoreCall(name, reply.status == 0 ? "no_reply" : std::to_string(reply.status));
    if (reply.status == 0) {
        context_.reportFailedCall("store", name, reply, begin);
        co_return StoreReply{};
    }
    const int64_t era = platform::decodeStoreEra(reply.fields);
    if (context_.storeEra.onAnswer(era, name) == storeera::AnswerEra::Outdated) {
        context_.metrics.onOutdatedAnswer(name);
        context_.log.report({"store",
                             "outdated_answer",
                             ResultCode::StoreDown,
                             "",
                             {{"call", std::string(name)},
                              {"status", std::to_string(reply.status)},
                              {"answer_era", std::to_string(era)},
                              {"era", std::to_string(context_.storeEra.current())}}});
        co_return StoreReply{};
    }
    co_return StoreReply{reply.status, std::move(reply.body), era};
}

} // namespace daisymount::gateway
