// Runs asynchronous store calls on a separate thread and waits for their results.

#include "ctl/blockingstore.h"

#include <future>

namespace daisymount::ctl
{

namespace
{
constexpr framework::Duration TICK_INTERVAL = framework::milliseconds{50};
}

BlockingStore::BlockingStore(const std::string &address)
    : duty_("store", TICK_INTERVAL), inbox_(duty_.makeInbox()), store_("http://" + address, client_.makePort(duty_))
{
    duty_.start({[] {}, {}, -1});
    client_.start();
}

BlockingStore::~BlockingStore()
{
    duty_.stop();
    client_.stop();
}

framework::Ret BlockingStore::readConfig(store::VersionedValue &value)
{
    std::promise<framework::Ret> done;
    inbox_->post([&] {
        store_.read(config::CONFIG_KEY, [&](const framework::Ret &ret, const store::VersionedValue &read) {
            value = read;
            done.set_value(ret);
        });
    });
    return done.get_future().get();
}

operations::ChangeOutcome BlockingStore::change(const operations::ChangeOptions &options, operations::Edit edit)
{
    std::promise<operations::ChangeOutcome> done;
    const auto handler = [&](const operations::ChangeOutcome &outcome) { done.set_value(outcome); };
    inbox_->post([&] { std::make_shared<operations::ConfigChange>(store_, options, std::move(edit), handler)->start(); });
    return done.get_future().get();
}

} // namespace daisymount::ctl
