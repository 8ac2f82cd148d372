// Token stream.

#include "streams/tokenstream.h"

namespace daisymount::streams
{

int64_t TokenStream::beginAttempt(uint64_t attempt)
{
    attempt_ = attempt;
    return next_;
}

TokenVerdict TokenStream::onToken(uint64_t attempt, int64_t offset, std::string_view text)
{
    if (attempt != attempt_ || complete_) {
        ++dropped_;
        return TokenVerdict::Stale;
    }
    if (offset < next_) {
        ++dropped_;
        return TokenVerdict::Duplicate;
    }
    if (offset > next_) {
        return TokenVerdict::Gap;
    }
    ++next_;
    if (keepText_) {
        text_ += text;
    }
    return TokenVerdict::Accept;
}

bool TokenStream::onEnd(uint64_t attempt, int64_t total)
{
    if (attempt != attempt_ || total != next_) {
        return false;
    }
    complete_ = true;
    return true;
}

int64_t TokenStream::nextOffset() const
{
    return next_;
}

bool TokenStream::complete() const
{
    return complete_;
}

const std::string &TokenStream::text() const
{
    return text_;
}

void TokenStream::setKeepText(bool keep)
{
    keepText_ = keep;
}

int64_t TokenStream::dropped() const
{
    return dropped_;
}

} // namespace daisymount::streams
