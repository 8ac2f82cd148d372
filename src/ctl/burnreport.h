// Burn rate report: how fast each service and organisation consumes its error budget.

#pragma once

#include "config/configtypes.h"
#include "ctl/fleet.h"
#include "slo/burnmeter.h"

#include <json/json.h>

#include <string>
#include <vector>

namespace daisymount::ctl
{

/// Sums the rows of the "report.burn" responses of all entries.
std::vector<slo::BurnRow> mergeBurnRows(const std::vector<NodeAnswer> &answers);

std::string renderBurnText(const config::Config &config, const std::vector<slo::BurnRow> &rows);
Json::Value renderBurnJson(const config::Config &config, const std::vector<slo::BurnRow> &rows);
/// Renders a self-contained page; plots are inline SVG.
std::string renderBurnHtml(const config::Config &config, const std::vector<slo::BurnRow> &rows);
/// Renders alert rules in the Prometheus rule file format.
std::string renderAlertRules(const config::Config &config);

} // namespace daisymount::ctl
