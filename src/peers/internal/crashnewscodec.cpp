// Binary codec of updates about requests in flight at crashes of upstreams.

#include "peers/internal/compactcodec.h"
#include "peers/peercodec.h"

#include <algorithm>
#include <limits>

namespace daisymount::peers
{

namespace
{
using crashattribution::CrashUpdate;
using crashattribution::Fingerprint;
using framework::fail;
using framework::Result;
using framework::ResultCode;

constexpr std::string_view MAGIC = "DC1";
constexpr uint64_t MAX_ROWS = 256;
constexpr uint64_t MAX_AGE_MS = 24ULL * 60 * 60 * 1000;

void writeAge(CompactWriter &writer, milliseconds age)
{
    writer.number(static_cast<uint64_t>(std::max<int64_t>(0, age.count())));
}

Result<milliseconds> readAge(CompactReader &reader)
{
    BOOST_LEAF_AUTO(age, reader.number(MAX_AGE_MS));
    return milliseconds{static_cast<int64_t>(age)};
}

Result<Fingerprint> readFingerprint(CompactReader &reader)
{
    return reader.number(std::numeric_limits<Fingerprint>::max());
}
} // namespace

bool isCrashUpdate(std::string_view bytes)
{
    return bytes.starts_with(MAGIC);
}

std::string encodeCrashUpdate(const CrashUpdate &update)
{
    CompactWriter writer;
    writer.number(update.observations.size());
    for (const crashattribution::CrashObservation &observation : update.observations) {
        writer.number(observation.fingerprint);
        writer.text(observation.incarnation.upstream);
        writer.signedNumber(observation.incarnation.bornMs);
        writeAge(writer, observation.age);
        writeAge(writer, observation.timeInFlight);
    }
    writer.number(update.clearances.size());
    for (const crashattribution::Clearance &clearance : update.clearances) {
        writer.number(clearance.fingerprint);
        writeAge(writer, clearance.age);
    }
    writer.number(update.convictions.size());
    for (const crashattribution::Conviction &conviction : update.convictions) {
        writer.number(conviction.fingerprint);
        writeAge(writer, conviction.age);
    }
    return writer.finish(MAGIC);
}

Result<CrashUpdate> decodeCrashUpdate(std::string_view bytes)
{
    if (!isCrashUpdate(bytes)) {
        return fail(ResultCode::BadMessage, "no update on crashes: unknown magic");
    }
    CompactReader reader(bytes.substr(MAGIC.size()));
    BOOST_LEAF_CHECK(reader.readTexts());
    CrashUpdate update;
    BOOST_LEAF_AUTO(observations, reader.number(MAX_ROWS));
    for (uint64_t i = 0; i < observations; ++i) {
        crashattribution::CrashObservation observation;
        BOOST_LEAF_ASSIGN(observation.fingerprint, readFingerprint(reader));
        BOOST_LEAF_ASSIGN(observation.incarnation.upstream, reader.text());
        BOOST_LEAF_ASSIGN(observation.incarnation.bornMs, reader.signedNumber());
        BOOST_LEAF_ASSIGN(observation.age, readAge(reader));
        BOOST_LEAF_ASSIGN(observation.timeInFlight, readAge(reader));
        update.observations.push_back(std::move(observation));
    }
    BOOST_LEAF_AUTO(clearances, reader.number(MAX_ROWS));
    for (uint64_t i = 0; i < clearances; ++i) {
        BOOST_LEAF_AUTO(fingerprint, readFingerprint(reader));
        BOOST_LEAF_AUTO(age, readAge(reader));
        update.clearances.push_back({fingerprint, age});
    }
    BOOST_LEAF_AUTO(convictions, reader.number(MAX_ROWS));
    for (uint64_t i = 0; i < convictions; ++i) {
        BOOST_LEAF_AUTO(fingerprint, readFingerprint(reader));
        BOOST_LEAF_AUTO(age, readAge(reader));
        update.convictions.push_back({fingerprint, age});
    }
    if (!reader.atEnd()) {
        return fail(ResultCode::BadMessage, "trailing bytes after an update on crashes");
    }
    return update;
}

} // namespace daisymount::peers
