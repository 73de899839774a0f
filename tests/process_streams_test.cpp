// Checks the answers of many concurrent streams through several entries that share their engines.
#include "standins/expected_text.h"
#include "support/fleet.h"
#include "support/http_client.h"

#include <gtest/gtest.h>

#include <boost/json/parse.hpp>

#include <atomic>
#include <thread>

namespace
{

using namespace heatherroute;
using namespace heatherroute::support;
namespace json = boost::json;

constexpr unsigned kStreams = 100;
constexpr unsigned kEntries = 3;
constexpr unsigned kDecodeEngines = 6;
constexpr std::uint32_t kMaxTokens = 40;
constexpr unsigned kServiceUnavailable = 503;
constexpr std::chrono::seconds kLimit{60};
constexpr std::chrono::milliseconds kRetryDelay{100};
const std::string kModel = "assistant";

/// Reads one answer to its end and returns its text; empty when the entry has no capacity for the request or the connection fails.
std::string readAnswer(const std::string &address, const std::string &prompt)
{
    http_options options;
    options.timeout = kLimit;
    const json::value body{{"model", kModel}, {"prompt", prompt}, {"max_tokens", kMaxTokens}, {"stream", true}};
    const auto stream = event_stream::make(address, "/v1/completions", body, options, nullptr);
    if (!stream || stream->status() == kServiceUnavailable) {
        return {};
    }
    std::string text;
    while (const auto event = stream->next()) {
        if (event->data == "[DONE]") {
            return text;
        }
        const json::value data = json::parse(event->data);
        if (data.as_object().contains("text")) {
            text += data.at("text").as_string();
        }
    }
    return text + " (ended early)";
}

/// Expects the complete answer and then increments @p completeAnswers. Retries until the entry has capacity, at a fixed interval in place of the
/// Retry-After delay that a caller would wait.
void expectCompleteAnswer(const std::string &address, const std::string &prompt, std::atomic<unsigned> &completeAnswers)
{
    const auto until = std::chrono::steady_clock::now() + kLimit;
    std::string text;
    while (text.empty() && std::chrono::steady_clock::now() < until) {
        text = readAnswer(address, prompt);
        if (text.empty()) {
            std::this_thread::sleep_for(kRetryDelay);
        }
    }
    const std::string expected = standins::expected_answer(kModel, prompt, kMaxTokens).text();
    EXPECT_EQ(text, expected) << prompt;
    completeAnswers += text == expected ? 1 : 0;
}

TEST(streams, hundredConcurrentStreamsThroughThreeEntriesAreByteExact)
{
    last_reason reason;
    const auto all = fleet::make(HEATHERROUTE_BIN_DIR, "red-pericial", &reason);
    ASSERT_TRUE(all) << reason.text();
    const fleet::engine_traits prefill{kModel, 4, 96, {"--prefill-us-per-token", "10"}};
    const fleet::engine_traits decode{kModel, 20, 96, {"--token-ms", "10"}};
    bool ok = all->addEngine("prefill-1", upstream_kind::PrefillEngine, prefill, &reason);
    ok = ok && all->addEngine("prefill-2", upstream_kind::PrefillEngine, prefill, &reason);
    for (unsigned engine = 0; engine < kDecodeEngines; ++engine) {
        ok = ok && all->addEngine("decode-" + std::to_string(engine), upstream_kind::DecodeEngine, decode, &reason);
    }
    for (unsigned entry = 0; entry < kEntries; ++entry) {
        ok = ok && all->addEntry("entry-" + std::to_string(entry), &reason);
    }
    ok = ok && all->publish(&reason);
    ASSERT_TRUE(ok) << reason.text();

    std::atomic<unsigned> whole{0};
    std::vector<std::thread> callers;
    callers.reserve(kStreams);
    for (unsigned index = 0; index < kStreams; ++index) {
        const std::string address = all->member("entry-" + std::to_string(index % kEntries)).address;
        const std::string prompt = "stream number " + std::to_string(index) + " of many";
        callers.emplace_back([address, prompt, &whole] { expectCompleteAnswer(address, prompt, whole); });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(whole, kStreams);
}

} // namespace
