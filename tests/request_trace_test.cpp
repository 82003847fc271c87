#include "request_trace.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace egret;

namespace {

std::string logLine(const std::string &time, const std::string &instance, const std::string &fields)
{
    return R"({"time":"2026-05-28T01:30:)" + time + R"(Z","instance":")" + instance + R"(",)"
           + fields + "}";
}

std::size_t countLines(const std::string &text)
{
    return static_cast<std::size_t>(std::ranges::count(text, '\n'));
}

} // namespace

TEST(RequestTrace, MergesAndExplainsLinesOfSeveralLogsInTimeOrder)
{
    RequestTrace trace("r1");
    trace.addLine(
            logLine("03.000", "gw-2",
                    R"("event":"request ended","request":"r1","outcome":"whole","status":200,)"
                    R"("ms":900,"attempts":2,"firstMs":120,"route":"chat","document":7)"));
    // Some log collectors write text before the JSON.
    trace.addLine(
            "  2.1 gw-2 "
            + logLine("02.100", "gw-2",
                      R"("event":"upstream chosen","request":"r1","attempt":1,"upstream":"e1",)"
                      R"("expectedMs":115,"load":3,"noticeAgeMs":40,"version":2)"));
    trace.addLine(logLine("02.300", "gw-2",
                          R"("event":"attempt failed","request":"r1","upstream":"e1","sent":true,)"
                          R"("passedOn":false,"detail":"reset")"));
    trace.addLine(logLine("02.200", "gw-2", R"("event":"upstream changed","upstream":"e1")"));
    trace.addLine(logLine("02.250", "gw-2", R"("event":"upstream changed","upstream":"e9")"));
    trace.addLine(logLine("02.250", "gw-1", R"("event":"upstream changed","upstream":"e1")"));
    trace.addLine(logLine("09.000", "gw-2", R"("event":"upstream changed","upstream":"e1")"));
    trace.addLine(logLine("02.250", "gw-2",
                          R"("event":"request ended","request":"r2","outcome":"whole")"));
    const std::string text = trace.text();
    ASSERT_EQ(countLines(text), 4U) << text;
    const auto positionOf = [&text](const char *fragment) { return text.find(fragment); };
    EXPECT_LT(positionOf("attempt 1 goes to e1: first answer expected after 115 ms"),
              positionOf("meanwhile: "));
    EXPECT_LT(positionOf("meanwhile: upstream changed"), positionOf("it may have run"));
    EXPECT_LT(positionOf("it may have run"),
              positionOf("ended as whole with status 200 after 900 ms"));
    EXPECT_NE(positionOf("ended as"), std::string::npos);
    EXPECT_EQ(positionOf("e9"), std::string::npos)
            << "an upstream to which the request was not sent";
    EXPECT_EQ(positionOf("gw-1"), std::string::npos)
            << "an instance that did not handle the request";
}

TEST(RequestTrace, ReportsThatNoLineNamesTheRequest)
{
    RequestTrace trace("r1");
    trace.addLine(logLine("01.000", "gw-1", R"("event":"instance is up")"));
    EXPECT_FALSE(trace.isFound());
    EXPECT_EQ(trace.text(), "no line names request r1\n");
}

TEST(RequestTrace, CountsAndSkipsUnreadableLines)
{
    RequestTrace trace("r1");
    trace.addLine(R"({"event":"request ended","request":"r1",)");
    trace.addLine("a banner without braces");
    trace.addLine(R"({"event":"no time"})");
    trace.addLine(logLine("01.000", "gw-1", R"("event":"something new","request":"r1","n":3)"));
    EXPECT_EQ(trace.unreadableLineCount(), 2U);
    EXPECT_TRUE(trace.isFound());
    EXPECT_NE(trace.text().find("something new n=3"), std::string::npos);
}
