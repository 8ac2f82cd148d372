// Computes and formats request fingerprints.

#include "crashattribution/crashtypes.h"

#include "framework/hash.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace daisymount::crashattribution
{

Fingerprint fingerprintOf(const RequestIdentity &request)
{
    // The hash of the preceding parts is the seed for the next one, so that moving bytes between parts changes the result.
    Fingerprint hash = 0;
    for (const std::string_view part : {request.method, request.host, request.target, request.organisation, request.body}) {
        hash = framework::hash64(part, hash);
    }
    return hash;
}

Fingerprint fingerprintOfPart(std::string_view service, std::string_view part)
{
    return framework::hash64(part, framework::hash64(service, framework::hash64("prompt part")));
}

std::string toText(Fingerprint fingerprint)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, fingerprint);
    return text.data();
}

} // namespace daisymount::crashattribution
