// Platform store implementation for the etcd v3 JSON gateway: range, txn, watch and lease calls.

#pragma once

#include "framework/json.h"
#include "network/httpclient.h"
#include "store/ileaseservice.h"
#include "store/iplatformstore.h"

#include <memory>
#include <string>

namespace daisymount::store
{

class HttpPlatformStore : public IPlatformStore, public ILeaseService
{
public:
    /// @p baseUrl: for example "http://127.0.0.1:2379". Calls must be made, and handlers run, on the event-loop thread of @p port.
    HttpPlatformStore(std::string baseUrl, std::unique_ptr<network::ClientPort> port);

    void read(std::string_view key, ReadHandler handler) override;
    void compareAndSwap(std::string_view key, int64_t expected, std::string value, WriteHandler handler) override;
    void watch(std::string_view key, int64_t knownRevision, ReadHandler handler) override;
    void acquire(std::string_view key, std::string_view holder, framework::Duration ttl, LeaseHandler handler) override;
    void renew(int64_t lease, RenewHandler handler) override;

private:
    using JsonHandler = std::function<void(const framework::Ret &ret, const Json::Value &answer)>;

    void post(std::string_view path, const Json::Value &body, framework::Duration timeout, JsonHandler handler);
    void putLeaseHolder(std::string_view key, std::string_view holder, int64_t lease, const LeaseHandler &handler);

    std::string baseUrl_;
    std::unique_ptr<network::ClientPort> port_;
};

} // namespace daisymount::store
