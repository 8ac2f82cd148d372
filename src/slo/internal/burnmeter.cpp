// Burn meter.

#include "slo/burnmeter.h"

namespace daisymount::slo
{

namespace
{
constexpr int64_t MS_PER_MINUTE = 60'000;
}

Counts &Counts::operator+=(const Counts &other)
{
    total += other.total;
    answered += other.answered;
    firstTokenGood += other.firstTokenGood;
    betweenTokensGood += other.betweenTokensGood;
    return *this;
}

double burnRate(int64_t good, int64_t total, double target)
{
    if (total <= 0 || target >= 1.0) {
        return 0.0;
    }
    const double bad = static_cast<double>(total - good) / static_cast<double>(total);
    return bad / (1.0 - target);
}

void BurnMeter::configure(const config::Config &config)
{
    objectives_.clear();
    for (const auto &[name, service] : config.services) {
        objectives_[name] = service.objectives;
    }
}

void BurnMeter::add(const Sample &sample, int64_t unixMs)
{
    const auto objectives = objectives_.find(sample.service);
    if (objectives == objectives_.end() || sample.callerError) {
        return;
    }
    const int64_t minute = unixMs / MS_PER_MINUTE;
    Series &series = series_[{std::string(sample.service), std::string(sample.organisation)}];
    series.minutes.erase(series.minutes.begin(), series.minutes.lower_bound(minute - MINUTES + 1));
    Counts &counts = series.minutes[minute];
    ++counts.total;
    if (!sample.answered) {
        return;
    }
    ++counts.answered;
    counts.firstTokenGood += sample.firstToken <= objectives->second.firstToken ? 1 : 0;
    counts.betweenTokensGood += sample.gapsWithinObjective ? 1 : 0;
}

std::vector<BurnRow> BurnMeter::rows(int64_t unixMs) const
{
    const int64_t minute = unixMs / MS_PER_MINUTE;
    std::vector<BurnRow> result;
    for (const auto &[key, series] : series_) {
        BurnRow row{key.first, key.second, {}};
        for (const auto &[at, counts] : series.minutes) {
            for (size_t window = 0; window < WINDOWS.size(); ++window) {
                if (at > minute - WINDOWS[window].second) {
                    row.windows[window] += counts;
                }
            }
        }
        result.push_back(std::move(row));
    }
    return result;
}

} // namespace daisymount::slo
