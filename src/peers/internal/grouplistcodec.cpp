// Binary codec of lists of rank groups: four bytes or less for each rank, since a list of hundreds of ranks has to fit into one datagram.

#include "peers/internal/compactcodec.h"
#include "peers/peercodec.h"

#include <limits>

namespace daisymount::peers
{

namespace
{
using framework::fail;
using framework::Result;
using framework::ResultCode;

constexpr std::string_view MAGIC = "DG1";
constexpr uint64_t MAX_GROUPS = 1'024;
constexpr uint64_t MAX_RANKS = 4'096;
} // namespace

bool isGroupList(std::string_view bytes)
{
    return bytes.starts_with(MAGIC);
}

std::string encodeGroupList(const dispatch::GroupList &list)
{
    CompactWriter writer;
    writer.signedNumber(list.term);
    writer.signedNumber(list.revision);
    writer.number(list.groups.size());
    for (const dispatch::GroupMembers &members : list.groups) {
        writer.text(members.service);
        writer.text(members.group);
        writer.number(members.ranks.size());
        for (const uint32_t rank : members.ranks) {
            writer.number(rank);
        }
    }
    return writer.finish(MAGIC);
}

Result<dispatch::GroupList> decodeGroupList(std::string_view bytes)
{
    if (!isGroupList(bytes)) {
        return fail(ResultCode::BadMessage, "no list of groups: unknown magic");
    }
    CompactReader reader(bytes.substr(MAGIC.size()));
    BOOST_LEAF_CHECK(reader.readTexts());
    dispatch::GroupList list;
    BOOST_LEAF_ASSIGN(list.term, reader.signedNumber());
    BOOST_LEAF_ASSIGN(list.revision, reader.signedNumber());
    BOOST_LEAF_AUTO(groups, reader.number(MAX_GROUPS));
    for (uint64_t i = 0; i < groups; ++i) {
        dispatch::GroupMembers members;
        BOOST_LEAF_ASSIGN(members.service, reader.text());
        BOOST_LEAF_ASSIGN(members.group, reader.text());
        BOOST_LEAF_AUTO(ranks, reader.number(MAX_RANKS));
        for (uint64_t k = 0; k < ranks; ++k) {
            BOOST_LEAF_AUTO(rank, reader.number(std::numeric_limits<uint32_t>::max()));
            members.ranks.push_back(static_cast<uint32_t>(rank));
        }
        list.groups.push_back(std::move(members));
    }
    if (!reader.atEnd()) {
        return fail(ResultCode::BadMessage, "trailing bytes after a list of groups");
    }
    return list;
}

} // namespace daisymount::peers
