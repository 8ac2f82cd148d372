// Tests of explaining requests from log lines in the format that gateways write.

#include "logreport/requestexplanation.h"

#include <CppUTest/TestHarness.h>

using namespace daisymount::logreport;

TEST_GROUP(RequestExplanation)
{
    std::vector<LogRecord> records;

    void addLine(std::string_view text)
    {
        LogRecord record;
        if (parseLogLine(text, record)) {
            records.push_back(std::move(record));
        }
    }

    std::string cause(std::string_view request)
    {
        return explainRequest(records, request).cause;
    }
};

TEST(RequestExplanation, admissionRefusalReportsTheLoad)
{
    addLine(
        R"(  12.1 vm-1 {"time_ms":1000,"vm":"vm-1","duty":"admission","event":"refused","code":202,"request":"a1","in_flight":"132","engines":"12","pass_ms":"101","group_down":"no","waited_ms":"120"})");
    addLine(R"({"time_ms":1000,"vm":"vm-1","duty":"forwarding","event":"answered","code":202,"request":"a1","status":"503","ms":"121"})");
    CHECK(cause("a1").find("132 requests were at 12 engines, passes took 101 ms") != std::string::npos);
}

TEST(RequestExplanation, admissionRefusalReportsAnUnavailableGroup)
{
    addLine(R"({"time_ms":900,"vm":"vm-2","duty":"maps","event":"no_report","code":303,"upstream":"u7"})");
    addLine(
        R"({"time_ms":1000,"vm":"vm-1","duty":"admission","event":"refused","code":202,"request":"a1","in_flight":"40","engines":"12","group_down":"yes"})");
    addLine(R"({"time_ms":1001,"vm":"vm-1","duty":"forwarding","event":"answered","code":202,"request":"a1","status":"503","ms":"1"})");
    const RequestExplanation explanation = explainRequest(records, "a1");
    CHECK(explanation.cause.find("made no passes") != std::string::npos);
    LONGS_EQUAL(1, explanation.relatedEvents.size());
    STRCMP_EQUAL("no_report", explanation.relatedEvents.front().event.c_str());
}

TEST(RequestExplanation, failureListsEveryAttempt)
{
    addLine(
        R"({"time_ms":1100,"vm":"vm-1","duty":"forwarding","event":"attempt","code":303,"request":"b2","upstream":"u1","end":"not_run","status":"503","ms":"4"})");
    addLine(
        R"({"time_ms":1200,"vm":"vm-1","duty":"forwarding","event":"attempt","code":303,"request":"b2","upstream":"u2","end":"may_have_run","status":"0","ms":"90"})");
    addLine(R"({"time_ms":1200,"vm":"vm-1","duty":"forwarding","event":"answered","code":304,"request":"b2","status":"502","ms":"95","config_revision":"7"})");
    CHECK(cause("b2").find("tried u1 not_run (status 503, 4 ms), then u2 may_have_run (status 0, 90 ms)") != std::string::npos);
    CHECK(cause("b2").find("configuration revision 7") != std::string::npos);
}

TEST(RequestExplanation, slowAnswerListsConcurrentStateChanges)
{
    addLine(R"({"time_ms":100,"vm":"vm-3","duty":"maps","event":"switched","code":0,"version":"1"})");
    addLine(R"({"time_ms":4000,"vm":"vm-3","duty":"maps","event":"given_up","code":601,"reason":"not all ranks were armed within the time limit"})");
    addLine(R"({"time_ms":4100,"vm":"vm-3","duty":"maps","event":"order","code":0,"outcome":"done"})");
    addLine(R"({"time_ms":5000,"vm":"vm-1","duty":"forwarding","event":"answered","code":0,"request":"c3","status":"200","first_ms":"180","ms":"2000"})");
    const RequestExplanation explanation = explainRequest(records, "c3");
    CHECK(explanation.cause.find("first part after 180 ms") != std::string::npos);
    LONGS_EQUAL(1, explanation.relatedEvents.size());
    STRCMP_EQUAL("given_up", explanation.relatedEvents.front().event.c_str());
}

TEST(RequestExplanation, quarantinedRequestListsCrashesWithItsFingerprint)
{
    addLine(
        R"({"time_ms":1000,"vm":"vm-3","duty":"crashes","event":"suspected","code":303,"request":"x1","fingerprint":"00ab","upstream":"u7","crashes":"1"})");
    addLine(
        R"({"time_ms":1500,"vm":"vm-3","duty":"crashes","event":"suspected","code":303,"request":"x2","fingerprint":"00cd","upstream":"u7","crashes":"1"})");
    addLine(
        R"({"time_ms":9000,"vm":"vm-2","duty":"crashes","event":"convicted","code":208,"fingerprint":"00ab","crashes":"u7/1/8000ms u8/1/4000ms u9/1/900ms"})");
    addLine(R"({"time_ms":90000,"vm":"vm-1","duty":"crashes","event":"refused","code":208,"request":"f6","fingerprint":"00ab","retry_after_ms":"510000"})");
    addLine(R"({"time_ms":90000,"vm":"vm-1","duty":"forwarding","event":"answered","code":208,"request":"f6","status":"503","ms":"1"})");
    const RequestExplanation explanation = explainRequest(records, "f6");
    CHECK(explanation.cause.find("fingerprint 00ab") != std::string::npos);
    LONGS_EQUAL(2, explanation.relatedEvents.size());
    STRCMP_EQUAL("convicted", explanation.relatedEvents.back().event.c_str());
}

TEST(RequestExplanation, requestRefusedForAPromptPartNamesThePart)
{
    addLine(
        R"({"time_ms":1000,"vm":"vm-3","duty":"crashes","event":"suspected","code":303,"request":"x1","fingerprint":"00ef","of":"prompt_part","prompt_parts":"a1,b2"})");
    addLine(
        R"({"time_ms":3000,"vm":"vm-1","duty":"crashes","event":"held","code":217,"request":"g7","fingerprint":"00ef","prompt_parts":"a1,b2","crashes":"2"})");
    addLine(R"({"time_ms":3000,"vm":"vm-1","duty":"forwarding","event":"answered","code":217,"request":"g7","status":"503","ms":"601"})");
    addLine(R"({"time_ms":9000,"vm":"vm-1","duty":"crashes","event":"refused","code":208,"request":"g8","fingerprint":"00ef","prompt_part":"b2"})");
    addLine(R"({"time_ms":9000,"vm":"vm-1","duty":"forwarding","event":"answered","code":208,"request":"g8","status":"503","ms":"1"})");
    CHECK(cause("g8").find("prompt part b2") != std::string::npos);
    CHECK(cause("g7").find("2 crashes") != std::string::npos);
    const RequestExplanation explanation = explainRequest(records, "g7");
    LONGS_EQUAL(1, explanation.relatedEvents.size());
    STRCMP_EQUAL("suspected", explanation.relatedEvents.front().event.c_str());
}

TEST(RequestExplanation, distinguishesUnfinishedFromUnknownRequests)
{
    addLine(R"({"time_ms":1100,"vm":"vm-1","duty":"forwarding","event":"attempt","code":303,"request":"d4","upstream":"u1","end":"not_run","status":"0"})");
    CHECK(cause("d4").find("no final answer") != std::string::npos);
    CHECK(cause("e5").find("no line tells") != std::string::npos);
    CHECK(cause("").find("no line tells") != std::string::npos);
}

TEST(RequestExplanation, malformedLinesAreIgnored)
{
    for (const std::string_view text : {"", "{", "no json", "{\"a\":1}", "[1,2]", "{\"time_ms\":\"x\",\"event\":3}"}) {
        addLine(text);
    }
    LONGS_EQUAL(0, records.size());
}
