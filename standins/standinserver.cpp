#include "standinserver.h"

#include <chrono>
#include <csignal>
#include <iostream>

namespace daisymount::standins
{

StandInServer::StandInServer(const std::string &address, framework::Duration tickInterval, Hooks hooks)
    : hooks_(std::move(hooks))
    , thread_("stand-in", tickInterval)
    , inbox_(thread_.makeInbox())
    , server_({address, 16 * 1024 * 1024},
              {[this](network::HttpRequest request) { inbox_->post([this, request = std::move(request)] { hooks_.request(request); }); },
               [this](network::ExchangeId exchange) {
                   inbox_->post([this, exchange] {
                       if (hooks_.disconnected) {
                           hooks_.disconnected(exchange);
                       }
                   });
               }})
    , replyPort_(server_.makePort())
{ }

int StandInServer::run()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    thread_.start({hooks_.tick ? hooks_.tick : [] {}, {}, -1});
    if (const framework::Ret started = server_.start(); !started) {
        std::cerr << started.detail << '\n';
        return 3;
    }
    int received = 0;
    sigwait(&signals, &received);
    server_.stop();
    thread_.stop();
    return 0;
}

void StandInServer::reply(network::ExchangeId exchange, int status, const Json::Value &body)
{
    network::HttpReply reply;
    reply.status = status;
    reply.body = framework::writeJson(body);
    replyPort_->reply(exchange, reply);
}

network::ReplyPort &StandInServer::replyPort()
{
    return *replyPort_;
}

Json::Value parseBody(const std::string &body)
{
    Json::Value value;
    static_cast<void>(framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(value, framework::parseJson(body));
        return {};
    }));
    return value.isObject() ? value : Json::Value(Json::objectValue);
}

int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace daisymount::standins
