// Entry point of daisymountctl, the command-line tool for operators.

#include "ctl/commands.h"

#include <docopt.h>

#include <iostream>

namespace
{
constexpr const char *USAGE = R"(daisymountctl: operates a daisymount site.

Usage:
  daisymountctl check FILE...
  daisymountctl diff --store=ADDRESS FILE...
  daisymountctl apply --store=ADDRESS [--expect=REVISION] [--wait=MS] FILE...
  daisymountctl show --store=ADDRESS
  daisymountctl status --store=ADDRESS
  daisymountctl zone (out|in) NAME --store=ADDRESS [--wait=MS]
  daisymountctl vm (out|in) NAME --store=ADDRESS [--wait=MS]
  daisymountctl explain REQUEST (--store=ADDRESS | --logs=FILE...)
  daisymountctl report burn --store=ADDRESS [--json] [--html=FILE]
  daisymountctl alerts --store=ADDRESS
  daisymountctl codes
  daisymountctl (-h | --help)
  daisymountctl --version

FILE is the base file, followed by overlays in order.

Options:
  --store=ADDRESS    Address and port of the platform's key-value service.
  --expect=REVISION  Refuse when another revision is in force.
  --wait=MS          How long to wait until all nodes have the change [default: 15000].
  --logs=FILE        Saved logs of gateways and rank agents; may be given several times.
  --json             Print JSON.
  --html=FILE        Write an HTML page.
  -h --help          Show this text.
  --version          Show the version.

Exit codes: 0 done, 1 wrong arguments, 2 invalid configuration, 3 store or nodes unreachable, 4 conflict, 5 not in force everywhere in time.
)";
} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc}, true, "daisymountctl 0.1.0");
    return daisymount::ctl::run(arguments);
}
