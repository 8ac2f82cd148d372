// Commands of the tool.

#pragma once

#include <docopt.h>

#include <map>
#include <string>

namespace daisymount::ctl
{

using Arguments = std::map<std::string, docopt::value>;

/// Runs the command that @p arguments name and returns the exit code.
int run(const Arguments &arguments);

} // namespace daisymount::ctl
