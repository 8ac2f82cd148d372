// Joins the tokens of several attempts into one answer: each token once, in order, and complete or visibly not.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace daisymount::streams
{

enum class TokenVerdict : uint8_t {
    Accept, ///< The next token: pass it on.
    Duplicate, ///< Already passed on: drop it.
    Gap, ///< A token is missing: the attempt cannot be used any further.
    Stale, ///< It belongs to an attempt that was given up: drop it.
};

/// State of one answer. Offsets count tokens from 0.
class TokenStream
{
public:
    /// From now on only tokens of @p attempt count. Returns the offset from which it must resume.
    int64_t beginAttempt(uint64_t attempt);

    TokenVerdict onToken(uint64_t attempt, int64_t offset, std::string_view text);

    /// The attempt says that it is complete after @p total tokens. Returns false when tokens are missing or the attempt is stale.
    bool onEnd(uint64_t attempt, int64_t total);

    /// Tokens passed on so far.
    int64_t nextOffset() const;
    bool complete() const;
    /// All text passed on, for whole answers.
    const std::string &text() const;
    /// Keeps text() for whole answers; off for streamed ones.
    void setKeepText(bool keep);

    /// Tokens dropped as duplicate or stale.
    int64_t dropped() const;

private:
    uint64_t attempt_ = 0; ///< 0 before the first attempt.
    int64_t next_ = 0;
    int64_t dropped_ = 0;
    bool complete_ = false;
    bool keepText_ = true;
    std::string text_;
};

} // namespace daisymount::streams
