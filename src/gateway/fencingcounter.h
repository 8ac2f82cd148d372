// Chooses the fencing numbers of the map controller's terms. A rank refuses orders with a lower number than it has seen, and does not tell which one it
// has seen.
//
// Expected load: a term every few minutes, with some seconds of the store's changes lost now and then, and the numbers of those seconds with them.

#pragma once

#include <cstdint>
#include <optional>

namespace daisymount::gateway
{

/// What a gateway knows of the numbers of earlier terms when it acquires the lease.
struct KnownFencing
{
    int64_t stored = 0; ///< Number of the store's last term; 0 if there is none. Written together with the lease's key, under the condition of this read.
    int64_t storeRevision = 0; ///< Revision of the store at that read. Earlier versions of this program took revisions as numbers.
    int64_t toldByPeers = 0; ///< Highest number that other gateways tell.
};

class FencingCounter
{
public:
    /// Number for a term that begins in @p era of the store, above all known ones. Numbers of different eras differ modulo ERAS_APART, those of one era
    /// because each is stored before it is used. Returns std::nullopt if the numbers are used up.
    std::optional<int64_t> next(const KnownFencing &known, int64_t era) const;

    enum class TermEnd : uint8_t {
        Accepted, ///< No rank has refused the number.
        Refused, ///< A rank has seen a higher number.
    };

    /// A term with @p number begins.
    void onTermBegun(int64_t number);
    void onTermEnded(TermEnd end);

    static constexpr int64_t ERAS_APART = 64;
    /// More numbers than the store loses in one return from a copy.
    static constexpr int64_t RECOVERY_STEP = int64_t{1} << 16;
    /// A rank that refuses all orders must not use up the numbers.
    static constexpr int64_t MAX_RECOVERY_STEP = int64_t{1} << 24;

private:
    int64_t highestOwn_ = 0; ///< Highest number of this gateway's terms.
    int refusedTerms_ = 0; ///< Number of the last terms that all ended with a refusal.
};

} // namespace daisymount::gateway
