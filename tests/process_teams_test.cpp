#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <string>
#include <utility>
#include <vector>

#include "heatherroute/key_digest.h"
#include "net/http_client.h"
#include "support/relay_site.h"
#include "support/site_run.h"

using namespace heatherroute;
using namespace heatherroute::support;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds kDeadline{2'000};
constexpr const char *kTeams = R"([{"Name":"team-a","ApiKeys":["key-of-a","old-key-of-a"]},{"Name":"team-b","ApiKeys":["key-of-b"]}])";
constexpr const char *kTeamsLater = R"([{"Name":"team-a","ApiKeys":["key-of-a"]},{"Name":"team-b","ApiKeys":["key-of-b"]}])";
constexpr const char *kOldKey = "old-key-of-a";

relay_site_settings siteWithTeams(double revokeMs)
{
    relay_site_settings settings;
    settings.teams = kTeams;
    settings.revokeMs = revokeMs;
    return settings;
}

caller_request requestTo(const std::string &path, const std::string &key)
{
    caller_request request;
    request.path = path;
    request.timeLeft = kDeadline;
    request.key = key;
    request.claimedTeam = "forged";
    return request;
}

/// The teams that upstreams got with the requests @p id, one for each arrival.
std::vector<std::string> teamsOf(const relay_site &site, const std::string &id)
{
    std::vector<std::string> teams;
    for (const standins::upstream_arrival &arrival : site.upstreamLog().arrivals) {
        if (arrival.id == id) {
            EXPECT_EQ(arrival.key, "") << arrival.target;
            std::string all;
            for (const std::string &team : arrival.teams) {
                all += (all.empty() ? "" : ",") + team;
            }
            teams.push_back(all);
        }
    }
    return teams;
}

asio::awaitable<std::string> metricsOf(relay_site &site, std::size_t entry)
{
    net::http_call call;
    call.method = "GET";
    call.target = "/metrics";
    call.endpoint = site.operatorsEndpoint(entry);
    net::http_result result = co_await net::performCall(std::move(call));
    co_return result.answer ? std::move(result.answer->body) : std::string();
}

} // namespace

// Guards against keys that reach upstreams or logs, callers that choose their team themselves, unknown keys that are served, and public routes
// that need a key.
TEST(ProcessTeams, KeysDecideAndUpstreamsGetTheTeam)
{
    runOnSite(siteWithTeams(5'000), [](relay_site &site) -> asio::awaitable<void> {
        for (const char *path : {kLookupPath, kBookingPath, kStreamPath}) {
            for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
                const caller_result known = co_await site.call(entry, requestTo(path, "key-of-b"));
                EXPECT_EQ(known.status, 200U) << path << known.refusal;
                EXPECT_EQ(known.fault, "");
                const std::vector<std::string> teams = teamsOf(site, known.id);
                EXPECT_EQ(teams, std::vector<std::string>(path == std::string(kStreamPath) ? 2 : 1, "team-b")) << path;
                for (const char *key : {"", "unknown-key", "key-of-b "}) {
                    const bool isKnown = std::string(key) == "key-of-b "; // Spaces around a value aren't part of it.
                    const caller_result other = co_await site.call(entry, requestTo(path, key));
                    EXPECT_EQ(other.status, isKnown ? 200U : 401U) << path << " " << key;
                    EXPECT_EQ(teamsOf(site, other.id).empty(), !isKnown);
                }
            }
        }
        for (const char *key : {"", "unknown-key", "key-of-a"}) {
            const caller_result open = co_await site.call(0, requestTo(kPublicPath, key));
            EXPECT_EQ(open.status, 200U) << key;
            EXPECT_EQ(teamsOf(site, open.id), std::vector<std::string>{""});
        }
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            const std::string metrics = co_await metricsOf(site, entry);
            EXPECT_NE(metrics.find("team-b"), std::string::npos);
            for (const std::string &text : {site.logOf(entry), metrics}) {
                for (const char *key : {"key-of-a", "key-of-b", "unknown-key"}) {
                    EXPECT_EQ(text.find(key), std::string::npos) << key;
                    EXPECT_EQ(text.find(keyDigestText(makeKeyDigest(key))), std::string::npos) << key;
                }
            }
        }
    });
}

// Guards against a removed key that is served after a new configuration, and by an entry that was frozen meanwhile.
TEST(ProcessTeams, ARemovedKeyIsRefusedAlsoByAnEntryThatWasFrozen)
{
    runOnSite(siteWithTeams(5'000), [](relay_site &site) -> asio::awaitable<void> {
        const caller_result before = co_await site.call(1, requestTo(kBookingPath, kOldKey));
        EXPECT_EQ(before.status, 200U);
        site.entry(1).signal(SIGSTOP);
        site.publishTeams(kTeamsLater);
        co_await pauseFor(seconds(3));
        for (const std::size_t entry : {0U, 2U}) {
            const caller_result removed = co_await site.call(entry, requestTo(kBookingPath, kOldKey));
            EXPECT_EQ(removed.status, 401U) << entry;
            EXPECT_TRUE(teamsOf(site, removed.id).empty());
            const caller_result kept = co_await site.call(entry, requestTo(kBookingPath, "key-of-a"));
            EXPECT_EQ(kept.status, 200U) << entry;
        }
        co_await pauseFor(milliseconds(2'500));
        site.entry(1).signal(SIGCONT);
        const auto until = std::chrono::steady_clock::now() + seconds(4);
        unsigned refused = 0;
        while (std::chrono::steady_clock::now() < until) {
            const caller_result late = co_await site.call(1, requestTo(kBookingPath, kOldKey));
            EXPECT_TRUE(late.status == 401U || late.status == 503U) << late.status;
            EXPECT_TRUE(teamsOf(site, late.id).empty()) << "a request with a removed key arrived at an upstream";
            refused += late.status == 401U ? 1 : 0;
        }
        EXPECT_GT(refused, 0U) << "the entry never learned of the new configuration";
        const caller_result kept = co_await site.call(1, requestTo(kBookingPath, "key-of-a"));
        EXPECT_EQ(kept.status, 200U);
    });
}

// Guards against an entry that refuses callers because it has lost the store, which the others still read, and against one that goes on without
// any confirmation.
TEST(ProcessTeams, AnEntryWithoutTheStoreGoesOnWhileOthersConfirm)
{
    runOnSite(siteWithTeams(5'000), [](relay_site &site) -> asio::awaitable<void> {
        site.storeProxy(2).setFault(proxy_fault::DropAll);
        site.storeProxy(2).resetAll();
        const auto until = std::chrono::steady_clock::now() + seconds(9);
        unsigned served = 0;
        while (std::chrono::steady_clock::now() < until) {
            const caller_result result = co_await site.call(2, requestTo(kBookingPath, "key-of-a"));
            EXPECT_EQ(result.status, 200U) << result.refusal;
            served += result.status == 200U ? 1 : 0;
            co_await pauseFor(milliseconds(20));
        }
        EXPECT_GT(served, 50U);
        EXPECT_EQ(site.logOf(2).find("config_not_current"), std::string::npos);
        // Nobody reads the store any more.
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            site.storeProxy(entry).setFault(proxy_fault::DropAll);
            site.storeProxy(entry).resetAll();
        }
        co_await pauseFor(seconds(6));
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            const caller_result keyed = co_await site.call(entry, requestTo(kBookingPath, "key-of-a"));
            EXPECT_EQ(keyed.status, 503U) << entry;
            const caller_result open = co_await site.call(entry, requestTo(kPublicPath, ""));
            EXPECT_EQ(open.status, 200U) << entry;
        }
    });
}

// Guards against keys and teams that are lost, or reach upstreams, on the way through another entry.
TEST(ProcessTeams, RequestsThatAreForwardedKeepTheirTeam)
{
    relay_site_settings settings = siteWithTeams(5'000);
    settings.hasOwnLinks = true;
    runOnSite(settings, [](relay_site &site) -> asio::awaitable<void> {
        site.cutFromUpstreams(0, true, true);
        unsigned served = 0;
        for (int i = 0; i < 40; ++i) {
            const char *path = i % 2 == 0 ? kBookingPath : kStreamPath;
            const caller_result result = co_await site.call(0, requestTo(path, "key-of-a"));
            served += result.status == 200U ? 1 : 0;
            for (const std::string &team : teamsOf(site, result.id)) {
                EXPECT_EQ(team, "team-a");
            }
            const caller_result unknown = co_await site.call(0, requestTo(path, "unknown-key"));
            EXPECT_EQ(unknown.status, 401U);
        }
        EXPECT_GT(served, 20U);
        EXPECT_NE(site.logOf(0).find("request_forwarded"), std::string::npos);
    });
}
