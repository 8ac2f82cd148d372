// Configuration change core.

#include "operations/configchange.h"

#include <algorithm>

namespace daisymount::operations
{

using framework::ResultCode;
using framework::Ret;
using store::VersionedValue;

namespace
{
Ret decode(const VersionedValue &value, config::StoredConfig &out)
{
    if (value.revision == 0) {
        return {};
    }
    return framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(out, config::decodeStored(value.value));
        return {};
    });
}
} // namespace

ConfigChange::ConfigChange(store::IPlatformStore &store, ChangeOptions options, Edit edit, ChangeHandler handler)
    : store_(store), options_(std::move(options)), edit_(std::move(edit)), handler_(std::move(handler))
{ }

void ConfigChange::start()
{
    store_.read(config::CONFIG_KEY, [self = shared_from_this()](const Ret &ret, const VersionedValue &value) { self->onCurrent(ret, value); });
}

void ConfigChange::finish(Ret ret, int64_t revision, std::vector<std::string> lines)
{
    handler_({std::move(ret), revision, std::move(lines)});
}

void ConfigChange::onCurrent(const Ret &ret, const VersionedValue &value)
{
    if (!ret) {
        finish(ret, 0, {});
        return;
    }
    config::StoredConfig current;
    if (const Ret decoded = decode(value, current); !decoded) {
        finish(decoded, 0, {});
        return;
    }
    if (options_.expectedRevision >= 0 && options_.expectedRevision != value.revision) {
        finish({ResultCode::ConfigurationConflict, "revision " + std::to_string(value.revision) + " is in force"}, 0, {});
        return;
    }
    std::string next;
    const Ret edited = framework::evaluate([&]() -> framework::Result<void> {
        BOOST_LEAF_ASSIGN(next, edit_(current.toml));
        return {};
    });
    if (!edited) {
        finish(edited, 0, {});
        return;
    }
    const config::LoadedConfig checked = config::loadMerged(next);
    if (!checked.diagnostics.empty()) {
        finish({checked.diagnostics.front().code, checked.diagnostics.front().text()}, 0, {});
        return;
    }
    write(value, current, checked.toml);
}

void ConfigChange::write(const VersionedValue &value, const config::StoredConfig &current, const std::string &next)
{
    before_ = current.toml;
    after_ = next;
    config::StoredConfig stored{options_.changeId, options_.author, {options_.changeId}, next};
    for (const std::string &id : current.history) {
        if (stored.history.size() < config::CONFIG_HISTORY_LENGTH) {
            stored.history.push_back(id);
        }
    }
    store_.compareAndSwap(config::CONFIG_KEY, value.revision, config::encodeStored(stored),
                          [self = shared_from_this()](const Ret &ret, int64_t revision) { self->onWritten(ret, revision); });
}

void ConfigChange::onWritten(const Ret &ret, int64_t revision)
{
    if (ret) {
        finish({}, revision, config::diff(before_, after_));
    } else if (ret.code == ResultCode::StoreDown) {
        finish(ret, 0, {});
    } else {
        readBack();
    }
}

void ConfigChange::readBack()
{
    store_.read(config::CONFIG_KEY, [self = shared_from_this()](const Ret &ret, const VersionedValue &value) { self->onReadBack(ret, value); });
}

void ConfigChange::onReadBack(const Ret &ret, const VersionedValue &value)
{
    ++tries_;
    config::StoredConfig standing;
    if (!ret || !decode(value, standing)) {
        if (tries_ < options_.maxTries) {
            readBack();
        } else {
            finish({ResultCode::ReplyLost, "the store did not say whether the change was accepted; see the history for " + options_.changeId}, 0, {});
        }
        return;
    }
    const bool accepted = std::find(standing.history.begin(), standing.history.end(), options_.changeId) != standing.history.end();
    if (accepted) {
        finish({}, value.revision, config::diff(before_, after_));
        return;
    }
    if (standing.toml == before_) {
        // The write was lost on its way. It may still arrive late: then its old revision makes it fail.
        if (tries_ < options_.maxTries) {
            start();
        } else {
            finish({ResultCode::ReplyLost, "the store keeps losing the change"}, 0, {});
        }
        return;
    }
    finish({ResultCode::ConfigurationConflict, "another operator's change " + standing.changeId + " came first"}, 0, config::diff(before_, standing.toml));
}

} // namespace daisymount::operations
