#include "telemetry/log.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>

#include <unistd.h>

using namespace heatherroute;

namespace
{

const std::chrono::system_clock::time_point kTime{std::chrono::milliseconds(1'796'343'661'007)};

log_line lineWith(const std::string &value)
{
    return {log_level::Warning, "request_refused", {requestIdField(value), upstreamField("audit-decode-1"), verdictField(verdict::NotRun)}};
}

std::string written(const log_line &line)
{
    testing::internal::CaptureStderr();
    writeLog(line);
    return testing::internal::GetCapturedStderr();
}

} // namespace

TEST(Log, LineIsKeyValuePairs)
{
    EXPECT_EQ(formatLogLine(lineWith("r-1"), log_format::KeyValue, kTime),
              "time=2026-12-04T00:21:01.007Z level=warning event=request_refused request_id=r-1 upstream=audit-decode-1 verdict=not_run");
}

TEST(Log, LineIsOneJsonObject)
{
    EXPECT_EQ(formatLogLine(lineWith("phở \"1\""), log_format::Json, kTime),
              R"({"time":"2026-12-04T00:21:01.007Z","level":"warning","event":"request_refused","request_id":"phở \"1\"",)"
              R"("upstream":"audit-decode-1","verdict":"not_run"})");
}

// Request ids come from callers. Without escaping, a caller could inject a forged line or field into the log.
TEST(Log, ValuesAreEscapedSoThatTheyCannotInjectLinesOrFields)
{
    const std::string hostile = "r\n level=error\xff\x01";
    const std::string text = formatLogLine(lineWith(hostile), log_format::KeyValue, kTime);
    EXPECT_NE(text.find("request_id=\"r\\u000a level=error\\ufffd\\u0001\" upstream"), std::string::npos) << text;
    EXPECT_EQ(formatLogLine(lineWith(hostile), log_format::Json, kTime).find('\n'), std::string::npos);
    EXPECT_NE(formatLogLine(lineWith(""), log_format::KeyValue, kTime).find("request_id=\"\" upstream"), std::string::npos);
}

TEST(Log, LevelChangesAtRunTimeAndNoFileIsWritten)
{
    const std::filesystem::path before = std::filesystem::current_path();
    const std::filesystem::path folder = std::filesystem::path(testing::TempDir()) / ("log_test_" + std::to_string(::getpid()));
    std::filesystem::create_directory(folder);
    std::filesystem::current_path(folder);
    configureLogging({log_level::Error, log_format::KeyValue});
    EXPECT_EQ(written(lineWith("r-1")), "");
    setLogLevel(log_level::Debug);
    EXPECT_EQ(currentLogLevel(), log_level::Debug);
    const std::string text = written(lineWith("100% %level r-2"));
    EXPECT_NE(text.find("request_id=\"100% %level r-2\""), std::string::npos) << text;
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
    EXPECT_TRUE(std::filesystem::is_empty(folder));
    std::filesystem::current_path(before);
    std::filesystem::remove(folder);
}
