// Report on service-level burn: how fast each service and organisation uses up its error budget.

#pragma once

#include "config/configtypes.h"
#include "ctl/fleet.h"
#include "slo/burnmeter.h"

#include <json/json.h>

#include <string>
#include <vector>

namespace daisymount::ctl
{

/// Adds up the rows of all entries' "report.burn" answers.
std::vector<slo::BurnRow> mergeBurnRows(const std::vector<NodeAnswer> &answers);

std::string renderBurnText(const config::Config &config, const std::vector<slo::BurnRow> &rows);
Json::Value renderBurnJson(const config::Config &config, const std::vector<slo::BurnRow> &rows);
/// A page without external resources; plots are inline SVG.
std::string renderBurnHtml(const config::Config &config, const std::vector<slo::BurnRow> &rows);
/// Alert rules in the format of Prometheus rule files.
std::string renderAlertRules(const config::Config &config);

} // namespace daisymount::ctl
