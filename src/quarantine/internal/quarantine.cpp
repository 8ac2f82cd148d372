// Quarantine core.

#include "quarantine/quarantine.h"

namespace daisymount::quarantine
{

Quarantine::Quarantine(const config::Quarantine &settings) : settings_(settings)
{ }

void Quarantine::setSettings(const config::Quarantine &settings)
{
    settings_ = settings;
}

Standing Quarantine::standing(Fingerprint fingerprint, Instant now) const
{
    const auto convicted = convicted_.find(fingerprint);
    if (convicted != convicted_.end() && now < convicted->second) {
        return Standing::Convicted;
    }
    const auto suspect = suspects_.find(fingerprint);
    const bool suspected = suspect != suspects_.end() && now < suspect->second.until;
    return suspected ? Standing::Suspect : Standing::Clear;
}

std::vector<Fingerprint> Quarantine::onCrash(const CrashReport &report, Instant now)
{
    const Instant until = now + settings_.duration;
    if (!seenCrashes_.try_emplace({report.upstream, report.engineIncarnation}, until).second) {
        return {};
    }
    const std::set<Fingerprint> distinct(report.inFlight.begin(), report.inFlight.end());
    const bool ranAlone = distinct.size() == 1;
    std::vector<Fingerprint> newlyConvicted;
    for (const Fingerprint fingerprint : distinct) {
        Suspect &suspect = suspects_[fingerprint];
        ++suspect.crashes;
        suspect.until = until;
        // Only a request that crashed an upstream on its own is convicted: neighbours in a batch share all other crashes.
        if (ranAlone && suspect.crashes >= settings_.crashesToConvict) {
            convicted_[fingerprint] = until;
            suspects_.erase(fingerprint);
            newlyConvicted.push_back(fingerprint);
        }
    }
    return newlyConvicted;
}

void Quarantine::onCompletedAlone(Fingerprint fingerprint)
{
    suspects_.erase(fingerprint);
}

void Quarantine::onConviction(const Conviction &conviction, Instant now)
{
    Instant &until = convicted_[conviction.fingerprint];
    until = std::max(until, now + std::min(conviction.remaining, settings_.duration));
    suspects_.erase(conviction.fingerprint);
}

std::vector<Conviction> Quarantine::convictions(Instant now) const
{
    std::vector<Conviction> result;
    for (const auto &[fingerprint, until] : convicted_) {
        if (now < until) {
            result.push_back({fingerprint, until - now});
        }
    }
    return result;
}

void Quarantine::expire(Instant now)
{
    std::erase_if(suspects_, [now](const auto &item) { return item.second.until <= now; });
    std::erase_if(convicted_, [now](const auto &item) { return item.second <= now; });
    std::erase_if(seenCrashes_, [now](const auto &item) { return item.second <= now; });
}

} // namespace daisymount::quarantine
