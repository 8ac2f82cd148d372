// Choice of the next fencing number.

#include "gateway/fencingcounter.h"

#include <algorithm>
#include <limits>

namespace daisymount::gateway
{

namespace
{
constexpr int64_t HIGHEST = std::numeric_limits<int64_t>::max();

/// Remainder in 0 to ERAS_APART - 1, also of negative numbers.
int64_t eraRemainder(int64_t number)
{
    const int64_t remainder = number % FencingCounter::ERAS_APART;
    return remainder < 0 ? remainder + FencingCounter::ERAS_APART : remainder;
}

/// Lowest number above @p base that belongs to @p era.
std::optional<int64_t> lowestAbove(int64_t base, int64_t era)
{
    const int64_t distance = eraRemainder(eraRemainder(era) - eraRemainder(base));
    const int64_t step = distance == 0 ? FencingCounter::ERAS_APART : distance;
    return base > HIGHEST - step ? std::nullopt : std::optional<int64_t>(base + step);
}
} // namespace

std::optional<int64_t> FencingCounter::next(const KnownFencing &known, int64_t era) const
{
    const int64_t base = std::max({int64_t{0}, known.stored, known.storeRevision, known.toldByPeers, highestOwn_});
    // Each era since the stored number may have lost the number of a later term.
    int64_t recovery = eraRemainder(eraRemainder(era) - eraRemainder(known.stored)) * RECOVERY_STEP;
    int64_t refusalStep = refusedTerms_ == 0 ? 0 : RECOVERY_STEP;
    for (int term = 1; term < refusedTerms_ && refusalStep < MAX_RECOVERY_STEP; ++term) {
        refusalStep *= 2;
    }
    recovery += refusalStep;
    const std::optional<int64_t> number = base > HIGHEST - recovery ? std::nullopt : lowestAbove(base + recovery, era);
    return number ? number : lowestAbove(base, era);
}

void FencingCounter::onTermBegun(int64_t number)
{
    highestOwn_ = std::max(highestOwn_, number);
}

void FencingCounter::onTermEnded(TermEnd end)
{
    refusedTerms_ = end == TermEnd::Refused ? refusedTerms_ + 1 : 0;
}

} // namespace daisymount::gateway
