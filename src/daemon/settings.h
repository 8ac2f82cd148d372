// Settings file of one process.

#pragma once

#include "framework/checkedtable.h"

#include <string>
#include <vector>

namespace daisymount::daemon
{

struct NodeSettings
{
    std::string name; ///< Of the entry or upstream in the configuration.
    std::string role; ///< "entry" or "sidecar".
    std::string zone;
    std::string address; ///< HTTP and datagrams.
    std::string storeAddress;
    std::string vmListAddress; ///< Empty when there is none.
    std::vector<std::string> seeds; ///< Addresses of some other nodes.
    std::string engineAddress; ///< Of the upstream behind a sidecar.
    int64_t maxBodyBytes = 1024 * 1024;
};

/// Reads @p text; faults go to @p diagnostics.
NodeSettings readSettings(const std::string &text, const std::string &file, framework::Diagnostics &diagnostics);

} // namespace daisymount::daemon
