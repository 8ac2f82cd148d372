// An operator's change of the configuration: one compare-and-swap, settled by reading back when its reply is lost.

#pragma once

#include "config/configloader.h"
#include "store/iplatformstore.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace daisymount::operations
{

/// Turns the text in force into the wanted text; a failed result stops the change.
using Edit = std::function<framework::Result<std::string>(const std::string &currentToml)>;

struct ChangeOutcome
{
    framework::Ret ret; ///< Ok once the change is accepted.
    int64_t revision = 0; ///< Of the accepted change.
    std::vector<std::string> lines; ///< What the change does, or on a conflict what the other operator did.
};

using ChangeHandler = std::function<void(const ChangeOutcome &outcome)>;

struct ChangeOptions
{
    std::string changeId; ///< Unique.
    std::string author;
    int64_t expectedRevision = -1; ///< Refuse when another revision is in force; -1: whatever is in force.
    int maxTries = 5; ///< Calls of the store before giving up on lost replies.
};

/// Deterministic core; one per change.
class ConfigChange : public std::enable_shared_from_this<ConfigChange>
{
public:
    ConfigChange(store::IPlatformStore &store, ChangeOptions options, Edit edit, ChangeHandler handler);
    void start();

private:
    void onCurrent(const framework::Ret &ret, const store::VersionedValue &value);
    void write(const store::VersionedValue &value, const config::StoredConfig &current, const std::string &next);
    void onWritten(const framework::Ret &ret, int64_t revision);
    void onReadBack(const framework::Ret &ret, const store::VersionedValue &value);
    void readBack();
    void finish(framework::Ret ret, int64_t revision, std::vector<std::string> lines);

    store::IPlatformStore &store_;
    ChangeOptions options_;
    Edit edit_;
    ChangeHandler handler_;
    int tries_ = 0;
    std::string before_; ///< Text on which the change was based.
    std::string after_;
};

} // namespace daisymount::operations
