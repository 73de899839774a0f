// Checks the operators' commands and port on a running entry.
#include "support/entry_setup.h"
#include "support/http_client.h"

#include <gtest/gtest.h>

namespace
{

using namespace heatherroute::support;

std::string inventoryOf(int slots)
{
    return "upstreams:\n  - {name: s-1, address: \"127.0.0.1:9\", zone: z, half: h, kind: plain_service, service: s, slots: " + std::to_string(slots) + "}\n";
}

class operators : public testing::Test
{
public:
    void SetUp() override
    {
        platform = startProgram("fake_platform", {});
        entry = startEntry(platform.address, "");
        ASSERT_FALSE(entry.operators.empty());
    }

    tool_result publish(int slots, const std::string &id)
    {
        const temporary_file file("inventory_" + id + ".yaml", inventoryOf(slots));
        return runHeatherctl({"publish", file.path(), "--log", platform.address, "--half", "h", "--publish-id", id, "--entries", entry.operators});
    }

    std::size_t recordCount() const
    {
        return getJson(platform.address, "/log/config?from=0&max=100").json.at("records").as_array().size();
    }

    running_program platform;
    running_program entry;
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

TEST_F(operators, readStateMetricsAndOwner)
{
    const auto published = publish(3, "a");
    EXPECT_EQ(published.exitCode, 0) << published.output;
    EXPECT_TRUE(contains(published.output, "accepted at offset") && contains(published.output, "in force on " + entry.operators)) << published.output;
    EXPECT_EQ(callHttp(entry.address, "GET", "/nowhere").status, 404U);
    const std::string metrics = getJson(entry.operators, "/metrics").body;
    for (const std::string part : {"heatherroute_requests_total{kind=\"other\",outcome=\"unknown_path\",verdict=\"not_run\"} 1\n",
                                   "heatherroute_first_token_seconds_count 0\n",
                                   "heatherroute_config_cut_off 0\n",
                                   "heatherroute_log_lines_total{level=\"info\"} "}) {
        EXPECT_TRUE(contains(metrics, part)) << part << metrics;
    }
    EXPECT_TRUE(contains(getJson(entry.operators, "/debug/state?format=text").body, "configuration.cut_off  "));
    EXPECT_TRUE(contains(runHeatherctl({"dump", "--format", "text", "--entries", entry.operators}).output, "\nupstreams\nname"));
    const auto status = runHeatherctl({"status", "--entries", entry.operators});
    EXPECT_EQ(status.exitCode, 0);
    EXPECT_TRUE(contains(status.output, "CUT_OFF\n") && contains(status.output, "false\n")) << status.output;
    const auto owner = runHeatherctl({"where", "s-1", "--entries", entry.operators});
    EXPECT_TRUE(contains(owner.output, "\"name\":\"s-1\"")) << owner.output;
    EXPECT_EQ(runHeatherctl({"where", "none", "--entries", entry.operators}).exitCode, 4);
}

TEST_F(operators, changeTheLogLevel)
{
    EXPECT_EQ(callHttp(entry.operators, "POST", "/admin/log-level?level=loud").status, 400U);
    EXPECT_EQ(callHttp(entry.operators, "GET", "/admin/log-level?level=error").status, 405U);
    EXPECT_EQ(callHttp(entry.operators, "POST", "/admin/log-level?level=error").status, 200U);
    const auto infoLines = [this] {
        const std::string metrics = getJson(entry.operators, "/metrics").body;
        const auto at = metrics.find("log_lines_total{level=\"info\"}");
        return metrics.substr(at, metrics.find('\n', at) - at);
    };
    const std::string before = infoLines();
    EXPECT_EQ(getJson(entry.address, "/nowhere").status, 404U);
    EXPECT_EQ(infoLines(), before);
}

TEST_F(operators, drainEndsTheEntry)
{
    EXPECT_EQ(runHeatherctl({"drain", "--entries", entry.operators}).exitCode, 0);
    EXPECT_EQ(entry.process->waitForEnd(std::chrono::seconds(20)), 0);
}

TEST_F(operators, aPublishIdTakesEffectOnceAndALostAnswerIsResolved)
{
    ASSERT_EQ(postJson(platform.address, "/fault", {{"lose_next", 1}}).status, 200U);
    const auto lost = publish(3, "a");
    EXPECT_EQ(lost.exitCode, 0) << lost.output;
    EXPECT_TRUE(contains(lost.output, "not confirmed") && contains(lost.output, "accepted at offset 0")) << lost.output;
    const auto again = publish(5, "a");
    EXPECT_TRUE(contains(again.output, "accepted at offset 0")) << again.output;
    const auto owner = runHeatherctl({"where", "s-1", "--entries", entry.operators});
    EXPECT_TRUE(contains(owner.output, "\"slots\":3")) << owner.output;
}

TEST_F(operators, theLaterOfTwoPublicationsFromOneBaseIsRejected)
{
    ASSERT_EQ(publish(3, "a").exitCode, 0);
    // With a slow log, neither publisher sees the other's record before it appends its own.
    ASSERT_EQ(postJson(platform.address, "/fault", {{"slow_ms", 700}}).status, 200U);
    const temporary_file first("first.yaml", inventoryOf(4));
    const temporary_file second("second.yaml", inventoryOf(5));
    const auto start = [this](const temporary_file &file) {
        return child_process::make(
            std::string(HEATHERROUTE_BIN_DIR) + "/heatherctl", {"publish", file.path(), "--log", platform.address, "--half", "h"}, nullptr);
    };
    const auto firstPublish = start(first);
    const auto secondPublish = start(second);
    const std::string codes = std::to_string(firstPublish->waitForEnd(std::chrono::seconds(30)).value_or(-1))
                              + std::to_string(secondPublish->waitForEnd(std::chrono::seconds(30)).value_or(-1));
    EXPECT_TRUE(codes == "03" || codes == "30") << firstPublish->output() << secondPublish->output();
    const std::string rejectedOutput = codes == "03" ? secondPublish->output() : firstPublish->output();
    EXPECT_TRUE(contains(rejectedOutput, "rejected at offset ") && rejectedOutput.size() > 30) << rejectedOutput;
    EXPECT_EQ(recordCount(), 3U);
}

} // namespace
