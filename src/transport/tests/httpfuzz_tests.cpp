// Fuzz test of HttpReader with a fixed seed and the messages in corpus/. For any input, parsing must terminate, stay within its limits and give
// the same result however the input is split.

#include "transport/httpreader.h"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

using namespace daisymount::transport;

namespace
{
constexpr size_t HEAD_LIMIT = 4'096;
constexpr uint64_t BODY_LIMIT = 64 * 1'024;
/// Maximum number of bytes that the reader may leave unused while it waits for more: an unfinished head, chunk size line or trailer.
constexpr size_t UNREAD_LIMIT = 20 * 1'024;
constexpr int MUTATIONS_PER_FILE = 300;

std::vector<std::string> corpus()
{
    std::vector<std::string> texts;
    for (const auto &entry : std::filesystem::directory_iterator(DAISYMOUNT_HTTP_CORPUS)) {
        std::ifstream file(entry.path(), std::ios::binary);
        texts.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    return texts;
}

/// Returns @p text with 1 to 4 random changes: a byte replaced or inserted, or a few bytes removed or repeated.
std::string mutate(std::string text, std::minstd_rand &random)
{
    const auto changes = 1 + random() % 4;
    for (unsigned i = 0; i < changes && !text.empty(); ++i) {
        const size_t at = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, 1 + random() % 8);
            break;
        case 2:
            text.insert(at, text.substr(at, 1 + random() % 16));
            break;
        default:
            text.insert(at, 1, "\r\n:;0, "[random() % 7]);
            break;
        }
    }
    return text;
}

struct ParseResult
{
    ReadState state = ReadState::Head;
    size_t used = 0;
    std::string body;
};

/// Parses @p text in pieces of random size up to @p maxPieceSize, or as a whole if that is 0.
ParseResult parse(HttpReader::MessageType type, std::string_view text, size_t maxPieceSize, std::minstd_rand &random)
{
    HttpReader reader(type, HEAD_LIMIT, BODY_LIMIT);
    ParseResult result;
    std::string buffer;
    while (!reader.done() && !reader.failed()) {
        const size_t size = std::min(text.size(), maxPieceSize == 0 ? text.size() : 1 + random() % maxPieceSize);
        buffer += text.substr(0, size);
        text.remove_prefix(size);
        const size_t used = reader.feed(buffer);
        CHECK(used <= buffer.size());
        buffer.erase(0, used);
        result.used += used;
        if (!reader.done() && !reader.failed()) {
            CHECK(buffer.size() <= UNREAD_LIMIT);
        }
        if (text.empty()) {
            break;
        }
    }
    result.state = reader.state();
    result.body = reader.body();
    CHECK(result.body.size() <= BODY_LIMIT);
    reader.feedEof();
    return result;
}
} // namespace

TEST_GROUP(HttpFuzz){};

TEST(HttpFuzz, resultDoesNotDependOnHowInputIsSplit)
{
    std::minstd_rand random(20'261);
    const std::vector<std::string> texts = corpus();
    CHECK(texts.size() >= 13);
    for (const std::string &text : texts) {
        for (int i = 0; i < MUTATIONS_PER_FILE; ++i) {
            const std::string bytes = i == 0 ? text : mutate(text, random);
            for (const HttpReader::MessageType type : {HttpReader::MessageType::Request, HttpReader::MessageType::Response}) {
                const ParseResult whole = parse(type, bytes, 0, random);
                const ParseResult pieces = parse(type, bytes, 700, random);
                CHECK((whole.state == ReadState::Done) == (pieces.state == ReadState::Done));
                if (whole.state == ReadState::Done) {
                    LONGS_EQUAL(whole.used, pieces.used);
                    CHECK(whole.body == pieces.body);
                }
            }
        }
    }
}
