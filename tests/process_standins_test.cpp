// Tests the stand-ins as programs: the properties that audits rely on must also hold over the network.
#include "standins/expected_text.h"
#include "support/http_client.h"
#include "support/process.h"

#include <gtest/gtest.h>

#include <boost/json/parse.hpp>

#include <csignal>

namespace
{

using namespace heatherroute;
using namespace heatherroute::support;
namespace json = boost::json;

constexpr std::chrono::seconds kLimit{20};

/// A running stand-in program and its address, which is empty if it did not start. The destructor kills the program.
class running_standin
{
public:
    running_standin(const std::string &name, const std::vector<std::string> &arguments)
    {
        last_reason reason;
        process = child_process::make(std::string(HEATHERROUTE_BIN_DIR) + "/" + name, arguments, &reason);
        if (process) {
            const auto words = process->waitUntilListening(kLimit);
            address = words.empty() ? std::string() : words.front();
        }
    }

    std::unique_ptr<child_process> process;
    std::string address;
};

std::string kvIdOf(const running_standin &prefill, const std::string &requestId, const std::string &prompt, const std::string &generated)
{
    const auto reply = postJson(
        prefill.address, "/v1/prefill", {{"request_id", requestId}, {"model", "audit"}, {"prompt", prompt}, {"generated", generated}, {"max_tokens", 40}});
    return reply.status == 200 ? std::string(reply.json.at("kv_id").as_string()) : std::string();
}

json::value decodeBody(const running_standin &prefill, const std::string &requestId, const std::string &prompt, const std::string &kvId, std::size_t offset)
{
    return {{"request_id", requestId},
            {"model", "audit"},
            {"prompt", prompt},
            {"kv_source", prefill.address},
            {"kv_id", kvId},
            {"offset", offset},
            {"max_tokens", 40}};
}

TEST(standin_programs, answerContinuesOnAnotherReplicaAfterCrash)
{
    const std::vector<std::string> decodeArguments{"--role", "decode", "--model", "audit", "--token-ms", "2"};
    running_standin prefill("fake_engine", {"--role", "prefill", "--model", "audit", "--kv-ttl-ms", "20000"});
    running_standin first("fake_engine", decodeArguments);
    running_standin second("fake_engine", decodeArguments);
    ASSERT_FALSE(prefill.address.empty() || first.address.empty() || second.address.empty());
    const std::string prompt = "a page about tailors in an old town";
    ASSERT_EQ(postJson(first.address, "/fault", {{"die_after_tokens", 9}}).status, 200U);

    std::string text;
    std::size_t tokens = 0;
    const auto readAnswer = [&](const running_standin &engine, const std::string &requestId) {
        const std::string kvId = kvIdOf(prefill, requestId, prompt, text);
        const auto body = decodeBody(prefill, requestId, prompt, kvId, tokens);
        const auto stream = event_stream::make(engine.address, "/v1/decode", body, {}, nullptr);
        while (const auto event = stream ? stream->next() : std::nullopt) {
            const json::value data = json::parse(event->data);
            if (data.as_object().contains("text")) {
                EXPECT_EQ(data.at("offset").to_number<std::size_t>(), tokens);
                text += data.at("text").as_string();
                ++tokens;
            }
        }
    };
    readAnswer(first, "r-1");
    EXPECT_EQ(first.process->waitForEnd(kLimit), 70);
    EXPECT_LT(tokens, 10U);
    readAnswer(second, "r-2");
    EXPECT_EQ(text, standins::expected_answer("audit", prompt, 40).text());
}

TEST(standin_programs, closedStreamFreesMemoryOnlyAfterDetachTime)
{
    running_standin prefill("fake_engine", {"--role", "prefill", "--model", "audit"});
    running_standin decode("fake_engine", {"--role", "decode", "--model", "audit", "--token-ms", "500", "--detach-ms", "300"});
    ASSERT_FALSE(prefill.address.empty() || decode.address.empty());
    const std::string kvId = kvIdOf(prefill, "r-1", "a prompt", "");
    auto stream = event_stream::make(decode.address, "/v1/decode", decodeBody(prefill, "r-1", "a prompt", kvId, 0), {}, nullptr);
    ASSERT_TRUE(stream && stream->status() == 200);
    stream.reset();
    const auto until = std::chrono::steady_clock::now() + kLimit;
    while (!getJson(decode.address, "/v1/requests").json.at("requests").as_array().empty() && std::chrono::steady_clock::now() < until) {
    }
    const auto records = getJson(decode.address, "/records").json.at("decodes").as_array();
    ASSERT_EQ(records.size(), 1U);
    EXPECT_EQ(records[0].at("reason"), "detached");
    EXPECT_GE(records[0].at("end_ms").as_int64() - records[0].at("start_ms").as_int64(), 300);
}

TEST(standin_programs, lostAnswerOfAnAppendHasTakenEffect)
{
    running_standin platform("fake_platform", {});
    ASSERT_FALSE(platform.address.empty());
    ASSERT_EQ(postJson(platform.address, "/fault", {{"lose_next", 1}}).status, 200U);
    EXPECT_EQ(postJson(platform.address, "/log/config/append", {{"records", {"a", "b"}}}).status, 0U);
    const auto read = getJson(platform.address, "/log/config?from=0&max=10");
    EXPECT_EQ(read.json.at("next"), 2);
    EXPECT_EQ(read.json.at("records").as_array().size(), 2U);
    platform.process->signal(SIGTERM);
    EXPECT_EQ(platform.process->waitForEnd(kLimit), 0);
}

} // namespace
