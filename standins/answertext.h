// The text that the stand-in engine answers to a prompt, so that a caller can check that it got its own whole answer.

#pragma once

#include "framework/hash.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace daisymount::standins
{

/// Token @p index of the answer to @p prompt.
inline std::string answerToken(std::string_view prompt, int64_t index)
{
    return std::to_string(index) + ":" + std::to_string(framework::hash64(prompt) % 1'000'000) + " ";
}

/// The whole answer of @p tokens tokens.
inline std::string answerText(std::string_view prompt, int64_t tokens)
{
    std::string text;
    for (int64_t index = 0; index < tokens; ++index) {
        text += answerToken(prompt, index);
    }
    return text;
}

} // namespace daisymount::standins
