#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>

#include "support/relay_site.h"
#include "support/site_run.h"

using namespace heatherroute;
using namespace heatherroute::support;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

using time_points = std::vector<std::chrono::steady_clock::time_point>;

constexpr milliseconds kRequestDeadline{2'000};
/// After a request has crashed this many upstreams, it may reach upstreams again only as often as allowed below.
constexpr std::size_t kMaxCrashes = 3;
constexpr int kMaxFurtherArrivals = 3; ///< Counted once all entries have had time to learn of the crashes.
constexpr seconds kLearningTime{3};

relay_site_settings poisonSite()
{
    relay_site_settings settings;
    settings.services = 5;
    settings.decodeEngines = 5;
    settings.prefillEngines = 2;
    return settings;
}

int arrivalsAfter(const relay_site &site, std::chrono::steady_clock::time_point from)
{
    const time_points arrivals = site.poisonArrivals();
    return static_cast<int>(std::distance(std::upper_bound(arrivals.begin(), arrivals.end(), from), arrivals.end()));
}

/// Sends a poison request to each entry in turn for @p time, one at a time.
asio::awaitable<void> repeatPoison(relay_site &site, std::string path, milliseconds time)
{
    const auto until = std::chrono::steady_clock::now() + time;
    for (std::size_t i = 0; std::chrono::steady_clock::now() < until; ++i) {
        const caller_result result = co_await site.call(i % site.entryCount(), path, kRequestDeadline);
        EXPECT_EQ(result.fault, "");
        if (result.status == 503) {
            EXPECT_EQ(site.runCountOf(result.id), 0) << "a request that was reported as not run has run";
        }
        co_await pauseFor(milliseconds(60));
    }
}

/// Expects that the request that crashed upstreams reached few more of them after @p since.
void expectFewArrivals(const relay_site &site, std::chrono::steady_clock::time_point since)
{
    EXPECT_LE(arrivalsAfter(site, since), kMaxFurtherArrivals) << site.poisonCrashes().size() << " crashes, " << site.poisonArrivals().size() << " arrivals";
}

class ProcessPoison : public testing::TestWithParam<const char *>
{ };

} // namespace

TEST_P(ProcessPoison, RequestThatCrashedThreeUpstreamsIsNotSentToFurtherOnes)
{
    runOnSite(poisonSite(), [path = GetParam()](relay_site &site) -> asio::awaitable<void> {
        co_await repeatPoison(site, path, seconds(10));
        const time_points crashes = site.poisonCrashes();
        EXPECT_GE(crashes.size(), kMaxCrashes);
        if (crashes.size() >= kMaxCrashes) {
            expectFewArrivals(site, crashes[kMaxCrashes - 1] + kLearningTime);
        }
    });
}

INSTANTIATE_TEST_SUITE_P(Kinds, ProcessPoison, testing::ValuesIn(kPoisonPaths), [](const auto &info) {
    return std::string(info.param).substr(1, std::string(info.param).find('/', 1) - 1);
});
