// Subcommands of daisymountctl.

#pragma once

#include <docopt.h>

#include <map>
#include <string>

namespace daisymount::ctl
{

using Arguments = std::map<std::string, docopt::value>;

/// Runs the subcommand selected by @p arguments and returns the exit code.
int run(const Arguments &arguments);

} // namespace daisymount::ctl
