// Runs complete processes and checks that answers are complete although engines, services and callers fail.
#include "standins/expected_text.h"
#include "support/fleet.h"
#include "support/http_client.h"

#include <gtest/gtest.h>

#include <boost/json/parse.hpp>

#include <csignal>
#include <functional>
#include <thread>

namespace
{

using namespace heatherroute;
using namespace heatherroute::support;
namespace json = boost::json;

constexpr std::chrono::seconds kLimit{30};
constexpr std::chrono::seconds kMemoryFreeLimit{5};
constexpr std::chrono::seconds kMaxStalledTime{10}; ///< For a whole answer, one of whose streams stalls.
constexpr std::uint32_t kMaxTokens = 60;
const std::string kModel = "audit";
const std::vector<std::string> kDecodes{"decode-1", "decode-2", "decode-3"};

/// The part of one completion that a caller has read.
struct caller_view
{
    std::string text;
    std::uint32_t tokens = 0;
    bool contiguous = true;
    bool done = false;
    std::string errorVerdict;
};

/// Reads @p stream to its end, or until @p limit tokens have arrived.
void readTokens(event_stream &stream, caller_view &view, std::uint32_t limit)
{
    while (view.tokens < limit) {
        const auto event = stream.next();
        if (!event) {
            return;
        }
        if (event->data == "[DONE]") {
            continue;
        }
        const json::value data = json::parse(event->data);
        if (event->name == "error") {
            view.errorVerdict = data.at("error").at("verdict").as_string();
        } else if (data.as_object().contains("done")) {
            view.done = true;
        } else {
            view.contiguous = view.contiguous && data.at("offset").to_number<std::uint32_t>() == view.tokens;
            view.text += data.at("text").as_string();
            ++view.tokens;
        }
    }
}

void readToEnd(event_stream &stream, caller_view &view)
{
    readTokens(stream, view, kMaxTokens + 1);
}

std::unique_ptr<event_stream> openStream(const fleet_member &entry, const std::string &prompt)
{
    http_options options;
    options.timeout = kLimit;
    const json::value body{{"model", kModel}, {"prompt", prompt}, {"max_tokens", kMaxTokens}, {"stream", true}};
    return event_stream::make(entry.address, "/v1/completions", body, options, nullptr);
}

void expectComplete(const caller_view &view, const std::string &prompt)
{
    EXPECT_TRUE(view.done) << view.errorVerdict << " (error verdict; empty when none arrived); tokens received: " << view.tokens;
    EXPECT_TRUE(view.contiguous);
    EXPECT_EQ(view.text, standins::expected_answer(kModel, prompt, kMaxTokens).text());
}

class answers : public testing::Test
{
protected:
    void SetUp() override
    {
        last_reason reason;
        m_fleet = fleet::make(HEATHERROUTE_BIN_DIR, "da-nang", &reason);
        ASSERT_TRUE(m_fleet) << reason.text();
        const fleet::engine_traits prefill{kModel, 4, 96, {"--prefill-us-per-token", "10"}};
        const fleet::engine_traits decode{kModel, 20, 96, {"--token-ms", "10"}};
        bool ok = m_fleet->addEngine("prefill-1", upstream_kind::PrefillEngine, prefill, &reason);
        ok = ok && m_fleet->addEngine("prefill-2", upstream_kind::PrefillEngine, prefill, &reason);
        for (const std::string &name : kDecodes) {
            ok = ok && m_fleet->addEngine(name, upstream_kind::DecodeEngine, decode, &reason);
        }
        ok = ok && m_fleet->addService("shop-1", "shop", {}, &reason) && m_fleet->addService("shop-2", "shop", {}, &reason);
        m_fleet->addRule(service_route{"shop", "/", {"GET"}});
        ok = ok && m_fleet->addEntry("entry-1", &reason) && m_fleet->publish(&reason);
        ASSERT_TRUE(ok) << reason.text();
    }

    fleet_member &entry()
    {
        return m_fleet->member("entry-1");
    }

    /// Returns the name of the decode engine that holds memory for the one request in flight; empty when none does.
    std::string engineInUse() const
    {
        for (const std::string &name : kDecodes) {
            if (m_fleet->requestsHeld(name) > 0) {
                return name;
            }
        }
        return {};
    }

    http_reply postBooking(const std::string &key) const
    {
        http_options options;
        options.fields["Idempotency-Key"] = key;
        return callHttp(m_fleet->member("entry-1").address, "POST", "/svc/shop/bookings", "{}", options);
    }

    std::int64_t executionCount(const std::string &key) const
    {
        std::int64_t runs = 0;
        for (const std::string name : {"shop-1", "shop-2"}) {
            const auto reply = getJson(m_fleet->member(name).address, "/records");
            if (reply.status == 200) {
                const json::object &byKey = reply.json.at("runs").as_object();
                runs += byKey.contains(key) ? byKey.at(key).to_number<std::int64_t>() : 0;
            }
        }
        return runs;
    }

    /// Requests a shutdown while streams run, and expects every stream to be complete and the exit code to be 0.
    void stopDuringStreams(const std::function<void()> &requestStop)
    {
        constexpr std::size_t kStreams = 8;
        std::vector<std::string> prompts;
        std::vector<std::unique_ptr<event_stream>> streams;
        std::vector<caller_view> views(kStreams);
        for (std::size_t i = 0; i < kStreams; ++i) {
            prompts.push_back("shop number " + std::to_string(i));
            streams.push_back(openStream(entry(), prompts.back()));
            ASSERT_TRUE(streams.back());
            readTokens(*streams.back(), views[i], 1);
        }
        requestStop();
        std::vector<std::thread> readers;
        for (std::size_t i = 0; i < kStreams; ++i) {
            readers.emplace_back([&streams, &views, i] { readToEnd(*streams[i], views[i]); });
        }
        for (std::thread &reader : readers) {
            reader.join();
        }
        for (std::size_t i = 0; i < kStreams; ++i) {
            expectComplete(views[i], prompts[i]);
        }
        EXPECT_EQ(entry().process->waitForEnd(kLimit), 0);
    }

    /// Reads some tokens, makes the engine that generates them fail, and expects the complete answer and no memory left in use.
    void expectCompletionDespite(const std::string &prompt, std::uint32_t tokensBefore, const std::function<void(const std::string &engine)> &fail)
    {
        const auto stream = openStream(entry(), prompt);
        ASSERT_TRUE(stream);
        caller_view view;
        readTokens(*stream, view, tokensBefore);
        const std::string name = engineInUse();
        ASSERT_FALSE(name.empty());
        fail(name);
        ASSERT_FALSE(HasFatalFailure());
        readToEnd(*stream, view);
        expectComplete(view, prompt);
        EXPECT_TRUE(m_fleet->waitUntilEnginesAreFree(kMemoryFreeLimit));
    }

    std::unique_ptr<fleet> m_fleet;
};

TEST_F(answers, completeAlthoughTheEngineIsKilledAfterItsFirstToken)
{
    expectCompletionDespite("describe the pho stall by the river", 1, [this](const std::string &name) { m_fleet->member(name).process->signal(SIGKILL); });
}

TEST_F(answers, completeAlthoughAnEnginesStreamsGoSilent)
{
    expectCompletionDespite(
        "a family store with a long history", 3, [this](const std::string &name) { ASSERT_TRUE(m_fleet->setFault(name, R"({"stall_streams":true})")); });
}

TEST_F(answers, completeAlthoughAnEnginesStreamsSendOnlyCommentsNowAndThen)
{
    const auto start = std::chrono::steady_clock::now();
    expectCompletionDespite("a bridge of bamboo", 3, [this](const std::string &name) { ASSERT_TRUE(m_fleet->setFault(name, R"({"drip_streams":true})")); });
    EXPECT_LT(std::chrono::steady_clock::now() - start, kMaxStalledTime);
}

// Each step takes longer than the time after which a stream without tokens is resumed over a new connection.
TEST_F(answers, completeAlthoughAllEnginesAreSlow)
{
    const std::string prompt = "the long way round the lake";
    const auto stream = openStream(entry(), prompt);
    ASSERT_TRUE(stream);
    caller_view view;
    readTokens(*stream, view, 3);
    const auto setSlowFactor = [this](const char *fault) {
        for (const std::string &name : kDecodes) {
            ASSERT_TRUE(m_fleet->setFault(name, fault));
        }
    };
    setSlowFactor(R"({"slow_factor":250})");
    readTokens(*stream, view, 6);
    EXPECT_EQ(view.tokens, 6U) << view.errorVerdict;
    setSlowFactor(R"({"slow_factor":1})");
    readToEnd(*stream, view);
    expectComplete(view, prompt);
}

TEST_F(answers, completeOverANewConnectionWhenTheOldOneGoesSilent)
{
    expectCompletionDespite("silk and linen, cut to size", 3, [this](const std::string &name) { ASSERT_TRUE(m_fleet->setFault(name, R"({"silent":true})")); });
}

// The stream has begun and breaks off, and all engines that could go on answer with an error. None of that may reach the caller as a part of its
// stream, and the stream must not appear complete.
TEST_F(answers, endWithAnErrorEventWhenTheNextEnginesAnswerWithErrors)
{
    const std::string prompt = "a tailor who mends what others throw away";
    const auto stream = openStream(entry(), prompt);
    ASSERT_TRUE(stream);
    caller_view view;
    readTokens(*stream, view, 3);
    const std::string used = engineInUse();
    ASSERT_FALSE(used.empty());
    for (const std::string &name : kDecodes) {
        if (name != used) {
            ASSERT_TRUE(m_fleet->setFault(name, R"({"refuse":true})"));
        }
    }
    m_fleet->member(used).process->signal(SIGKILL);
    readToEnd(*stream, view);
    EXPECT_FALSE(view.done);
    EXPECT_FALSE(view.errorVerdict.empty());
    EXPECT_TRUE(view.contiguous);
    EXPECT_GE(view.tokens, 3U);
    EXPECT_TRUE(standins::expected_answer(kModel, prompt, kMaxTokens).text().starts_with(view.text)) << view.text;
}

TEST_F(answers, leaveNoMemoryHeldWhenTheCallerCloses)
{
    auto stream = openStream(entry(), "lanterns for the festival");
    ASSERT_TRUE(stream);
    caller_view view;
    readTokens(*stream, view, 2);
    ASSERT_FALSE(engineInUse().empty());
    stream.reset();
    EXPECT_TRUE(m_fleet->waitUntilEnginesAreFree(kMemoryFreeLimit));
}

TEST_F(answers, areCompletedBeforeAGracefulShutdownEnds)
{
    stopDuringStreams([this] { entry().process->signal(SIGTERM); });
}

TEST_F(answers, completeWhenTwoOperatorsAndASignalRequestTheSameShutdown)
{
    stopDuringStreams([this] {
        EXPECT_EQ(callHttp(entry().operators, "POST", "/admin/drain").status, 200U);
        EXPECT_EQ(callHttp(entry().operators, "POST", "/admin/drain").status, 200U);
        entry().process->signal(SIGTERM);
    });
}

TEST_F(answers, failOverWhenEnginesRefuseOrAreFull)
{
    ASSERT_TRUE(m_fleet->setFault("prefill-1", R"({"refuse":true})"));
    ASSERT_TRUE(m_fleet->setFault("decode-1", R"({"refuse":true})"));
    ASSERT_TRUE(m_fleet->setFault("decode-2", R"({"stall_transfers":true})"));
    const std::string prompt = "opening hours and prices";
    const auto stream = openStream(entry(), prompt);
    ASSERT_TRUE(stream);
    caller_view view;
    readToEnd(*stream, view);
    expectComplete(view, prompt);
    EXPECT_TRUE(m_fleet->waitUntilEnginesAreFree(kMemoryFreeLimit));
}

TEST_F(answers, reportWhetherABookingMayHaveRun)
{
    for (const std::string name : {"shop-1", "shop-2"}) {
        ASSERT_TRUE(m_fleet->setFault(name, R"({"die_after_run":true})"));
    }
    const auto lost = postBooking("slot-1");
    EXPECT_EQ(lost.json.at("error").at("verdict"), "may_have_run");
    EXPECT_FALSE(lost.fields.contains("retry-after"));
    EXPECT_EQ(executionCount("slot-1"), 1);
    for (const std::string name : {"shop-1", "shop-2"}) {
        ASSERT_TRUE(m_fleet->setFault(name, R"({"die_before_run":true})"));
    }
    // The booking did not run, but the entry cannot distinguish this from a lost answer.
    EXPECT_EQ(postBooking("slot-2").json.at("error").at("verdict"), "may_have_run");
    EXPECT_EQ(executionCount("slot-2"), 0);
    for (const std::string name : {"shop-1", "shop-2"}) {
        ASSERT_TRUE(m_fleet->setFault(name, "{}"));
    }
    // The entry remembers that the outcome for this key is unknown, and does not run the booking again.
    EXPECT_EQ(postBooking("slot-1").json.at("error").at("verdict"), "may_have_run");
    EXPECT_EQ(executionCount("slot-1"), 1);
}

TEST_F(answers, runABookingOnceHoweverOftenItIsSent)
{
    m_fleet->member("shop-1").process->signal(SIGKILL);
    m_fleet->member("shop-1").process->waitForEnd(kLimit);
    const auto first = postBooking("slot-3");
    const auto second = postBooking("slot-3");
    EXPECT_EQ(first.status, 200U);
    EXPECT_EQ(second.status, 200U);
    EXPECT_EQ(second.body, first.body);
    EXPECT_EQ(executionCount("slot-3"), 1);
}

} // namespace
