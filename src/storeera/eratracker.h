// Knows the era of the platform's store, from its answers and from what peers tell. The highest era that was told is the current one.
//
// Expected load: some answers a second from connections that are late or belong to a store that has been replaced, and peers that hear of a new era
// seconds earlier or later than this process.

#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace daisymount::storeera
{

/// Relation of an answer to the current era.
enum class AnswerEra : uint8_t {
    Current, ///< Also of answers that tell no era before any did.
    Outdated, ///< Of an earlier era, or of none although an era is known. Says nothing about the store as it is now.
};

class EraTracker
{
public:
    /// Evaluates an answer of the store to @p call that tells @p era, 0 if it tells none.
    AnswerEra onAnswer(int64_t era, std::string_view call);
    /// @p peer has sent news of @p era.
    void onPeerEra(int64_t era, std::string_view peer);

    /// 0 before the first.
    int64_t current() const;

    /// Called with each new era, the one before it and the call or the peer that told of it.
    std::function<void(int64_t before, int64_t era, std::string_view toldBy)> onNewEra = [](int64_t, int64_t, std::string_view) {};

private:
    void raise(int64_t era, std::string_view toldBy);

    int64_t current_ = 0; ///< Never decreases.
};

} // namespace daisymount::storeera
