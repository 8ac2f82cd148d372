// Tests of splitting a body into server-sent events: line ends, parts of any size, and ends inside an event.

#include "gateway/eventassembler.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <random>

using namespace daisymount::gateway;

TEST_GROUP(EventAssembler)
{
    EventAssembler events;
};

TEST(EventAssembler, returnsOnlyCompleteEvents)
{
    STRCMP_EQUAL("", events.append("id: 1\nda").c_str());
    STRCMP_EQUAL("id: 1\ndata: x\n\n", events.append("ta: x\n\nid: 2\n").c_str());
    STRCMP_EQUAL("1", events.lastEventId().c_str());
    STRCMP_EQUAL("id: 2\n", events.partial().c_str());
    events.discardPartial();
    STRCMP_EQUAL("id:3\r\ndata: y\r\n\r\n", events.append("id:3\r\ndata: y\r\n\r\n").c_str());
    STRCMP_EQUAL("3", events.lastEventId().c_str());
    LONGS_EQUAL(2, events.eventCount());
}

TEST(EventAssembler, lineEndsOfAllKindsEndAnEvent)
{
    const std::array<std::string, 5> streams{"id: 7\ndata: x\n\n", "id: 7\r\ndata: x\r\n\r\n", "id: 7\rdata: x\r\r", "id: 7\r\ndata: x\n\r\n",
                                             "id: 7\ndata: x\r\n\r"};
    for (const std::string &stream : streams) {
        EventAssembler assembler;
        STRCMP_EQUAL(stream.c_str(), assembler.append(stream).c_str());
        STRCMP_EQUAL("7", assembler.lastEventId().c_str());
        LONGS_EQUAL(1, assembler.eventsWithData());
        CHECK_FALSE(assembler.isInsideEvent());
    }
}

TEST(EventAssembler, lineFeedOfABlankLineThatArrivesLaterBelongsToItsEvent)
{
    STRCMP_EQUAL("data: x\r\n\r", events.append("data: x\r\n\r").c_str());
    STRCMP_EQUAL("\n", events.append("\n").c_str());
    LONGS_EQUAL(1, events.eventCount());
    CHECK_FALSE(events.isInsideEvent());
}

// Guards against a stream that was cut inside an event being passed on as complete.
TEST(EventAssembler, onlyAStreamThatEndsBetweenEventsIsComplete)
{
    const std::string whole = "id: 1\ndata: a\n\n";
    for (size_t length = 1; length < whole.size(); ++length) {
        EventAssembler assembler;
        assembler.append(whole + whole.substr(0, length));
        CHECK(assembler.isInsideEvent());
        assembler.discardPartial();
        CHECK_FALSE(assembler.isInsideEvent());
    }
    for (const std::string rest : {"", "\n", "\r\n", ": ping", ": ping\n", ":\n\n"}) {
        EventAssembler assembler;
        assembler.append(whole + rest);
        CHECK_FALSE(assembler.isInsideEvent());
    }
}

TEST(EventAssembler, resultDoesNotDependOnHowBytesArrive)
{
    std::mt19937 random(7);
    const std::array<std::string, 8> pieces{"id: 12", "data: some text", "\n", "\r\n", "\r", ": comment", "event", "\n\n"};
    for (int round = 0; round < 2'000; ++round) {
        std::string stream;
        for (int i = 0; i < 12; ++i) {
            stream += pieces.at(random() % pieces.size());
        }
        EventAssembler atOnce;
        EventAssembler byteByByte;
        const std::string expected = atOnce.append(stream);
        std::string complete;
        for (const char byte : stream) {
            complete += byteByByte.append(std::string_view(&byte, 1));
        }
        STRCMP_EQUAL(expected.c_str(), complete.c_str());
        STRCMP_EQUAL((expected + atOnce.partial()).c_str(), stream.c_str());
        STRCMP_EQUAL(atOnce.lastEventId().c_str(), byteByByte.lastEventId().c_str());
        LONGS_EQUAL(atOnce.eventCount(), byteByByte.eventCount());
        LONGS_EQUAL(atOnce.eventsWithData(), byteByByte.eventsWithData());
        CHECK_EQUAL(atOnce.isInsideEvent(), byteByByte.isInsideEvent());
    }
}
