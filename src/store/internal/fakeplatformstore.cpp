// In-memory platform store for tests and scenarios.

#include "store/fakeplatformstore.h"

#include <utility>

namespace daisymount::store
{

using framework::ResultCode;
using framework::Ret;

void FakePlatformStore::read(std::string_view key, ReadHandler handler)
{
    ++counters_.reads;
    if (faults_.down) {
        answer([handler = std::move(handler)] { handler(Ret{ResultCode::StoreDown, "store is down (injected fault)"}, {}); });
        return;
    }
    answer([handler = std::move(handler), value = peek(key)] { handler(Ret{}, value); });
}

void FakePlatformStore::compareAndSwap(std::string_view key, int64_t expected, std::string value, WriteHandler handler)
{
    ++counters_.writes;
    if (faults_.down) {
        answer([handler = std::move(handler)] { handler(Ret{ResultCode::StoreDown, "store is down (injected fault)"}, 0); });
        return;
    }
    if (faults_.loseWrites) {
        answer([handler = std::move(handler)] { handler(Ret{ResultCode::ReplyLost, "reply lost (injected fault)"}, 0); });
        return;
    }
    const int64_t currentRevision = peek(key).revision;
    if (currentRevision != expected) {
        answer([handler = std::move(handler), currentRevision] {
            handler(Ret{ResultCode::CasConflict, "key does not have the expected revision"}, currentRevision);
        });
        return;
    }
    const int64_t revision = ++lastRevision_;
    values_[std::string(key)] = VersionedValue{std::move(value), revision};
    const Ret ret = faults_.loseWriteReplies ? Ret{ResultCode::ReplyLost, "reply lost (injected fault)"} : Ret{};
    answer([handler = std::move(handler), ret, revision] { handler(ret, ret ? revision : 0); });
    std::deque<Watch> waiting;
    waiting.swap(watches_);
    for (Watch &watch : waiting) {
        this->watch(watch.key, watch.knownRevision, std::move(watch.handler));
        --counters_.reads;
    }
}

void FakePlatformStore::watch(std::string_view key, int64_t knownRevision, ReadHandler handler)
{
    const VersionedValue value = peek(key);
    if (faults_.down || value.revision != knownRevision) {
        read(key, std::move(handler));
        return;
    }
    ++counters_.reads;
    watches_.push_back({std::string(key), knownRevision, std::move(handler)});
}

void FakePlatformStore::step()
{
    while (!pending_.empty()) {
        stepOnce();
    }
}

void FakePlatformStore::stepOnce()
{
    std::deque<std::function<void()>> calls;
    calls.swap(pending_);
    for (const auto &call : calls) {
        call();
    }
}

void FakePlatformStore::expireWatches()
{
    std::deque<Watch> waiting;
    waiting.swap(watches_);
    for (Watch &watch : waiting) {
        const Ret ret = faults_.down ? Ret{ResultCode::StoreDown, "store is down (injected fault)"} : Ret{};
        answer([handler = std::move(watch.handler), ret, value = peek(watch.key)] { handler(ret, value); });
    }
}

StoreFaults &FakePlatformStore::faults()
{
    return faults_;
}

const StoreCounters &FakePlatformStore::counters() const
{
    return counters_;
}

VersionedValue FakePlatformStore::peek(std::string_view key) const
{
    const auto found = values_.find(key);
    return found == values_.end() ? VersionedValue{} : found->second;
}

void FakePlatformStore::answer(std::function<void()> call)
{
    if (deliver) {
        deliver(std::move(call));
        return;
    }
    pending_.push_back(std::move(call));
}

} // namespace daisymount::store
