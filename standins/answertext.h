// Deterministic answer text of the stand-in engine. The traffic generator derives the same text from the prompt and so
// detects answers that are truncated, duplicated in part or delivered to the wrong caller.

#pragma once

#include "framework/hash.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisymount::standins
{

/// Returns the token at position @p index of the answer to @p prompt: the position and a hash of the prompt.
inline std::string answerToken(std::string_view prompt, int64_t index)
{
    return std::to_string(index) + ":" + std::to_string(framework::hash64(prompt) % 1'000'000) + " ";
}

/// Returns the complete answer to @p prompt, @p tokens tokens long.
inline std::string answerText(std::string_view prompt, int64_t tokens)
{
    std::string text;
    for (int64_t index = 0; index < tokens; ++index) {
        text += answerToken(prompt, index);
    }
    return text;
}

} // namespace daisymount::standins
