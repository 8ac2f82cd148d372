// Synchronous client of the platform's store for the command-line tool.

#pragma once

#include "network/httpclient.h"
#include "operations/configchange.h"
#include "store/httpplatformstore.h"

#include <memory>
#include <string>

namespace daisymount::ctl
{

class BlockingStore
{
public:
    explicit BlockingStore(const std::string &address);
    ~BlockingStore();
    BlockingStore(const BlockingStore &) = delete;
    BlockingStore &operator=(const BlockingStore &) = delete;

    /// Reads the current configuration; @p value has revision 0 if none is stored.
    framework::Ret readConfig(store::VersionedValue &value);
    operations::ChangeOutcome change(const operations::ChangeOptions &options, operations::Edit edit);

private:
    network::HttpClient client_;
    network::DutyThread duty_;
    std::shared_ptr<network::Inbox> inbox_;
    store::HttpPlatformStore store_;
};

} // namespace daisymount::ctl
