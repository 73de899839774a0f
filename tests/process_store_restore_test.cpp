#include <gtest/gtest.h>

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

constexpr milliseconds kRequestDeadline{3'000};
constexpr std::uint64_t kFirstEra = 4;
constexpr const char *kEntriesTopic = "keyed.heatherroute-entries";

relay_site_settings siteWithEra()
{
    relay_site_settings settings;
    settings.storeEra = kFirstEra;
    return settings;
}

/// Lets the store be away for a moment and come back from @p copy.
asio::awaitable<void> comeBackFrom(relay_site &site, std::shared_ptr<const standins::site_store::copy> copy)
{
    for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
        site.storeProxy(entry).setFault(proxy_fault::Refuse);
        site.storeProxy(entry).resetAll();
    }
    co_await pauseFor(milliseconds(300));
    site.store().restore(*copy);
    for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
        site.storeProxy(entry).setFault(proxy_fault::None);
    }
}

asio::awaitable<void> expectStatus(relay_site &site, const char *path, unsigned status)
{
    for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
        const caller_result result = co_await site.call(entry, path, kRequestDeadline);
        EXPECT_EQ(result.status, status) << "entry " << entry;
    }
}

} // namespace

// The offsets that are given out again reach exactly the position from which the entries read on, so they would skip what was written.
TEST(ProcessStoreRestore, ConfigurationWrittenAtOffsetsThatAreGivenOutAgainIsApplied)
{
    runOnSite(siteWithEra(), [](relay_site &site) -> asio::awaitable<void> {
        const auto copy = site.store().makeCopy();
        constexpr int kRecords = 5;
        for (int i = 0; i < kRecords; ++i) {
            site.publish(true);
        }
        co_await pauseFor(seconds(2));
        co_await comeBackFrom(site, copy);
        for (int i = 0; i < kRecords; ++i) {
            site.publish(i + 1 < kRecords);
        }
        co_await pauseFor(seconds(3));
        co_await expectStatus(site, kLookupPath, 404);
    });
}

TEST(ProcessStoreRestore, ConfigurationInForceStaysAlthoughTheStoreHoldsAnOlderOne)
{
    runOnSite(siteWithEra(), [](relay_site &site) -> asio::awaitable<void> {
        const auto copy = site.store().makeCopy();
        site.publish(false);
        co_await pauseFor(seconds(2));
        co_await comeBackFrom(site, copy);
        co_await pauseFor(seconds(2));
        co_await expectStatus(site, kLookupPath, 404);
    });
}

TEST(ProcessStoreRestore, UpstreamsThatTheCopyLacksGoOnServing)
{
    runOnSite(siteWithEra(), [](relay_site &site) -> asio::awaitable<void> {
        const auto copy = site.store().makeCopy();
        site.store().removeKeys("keyed.servers", "");
        const auto copyWithoutUpstreams = site.store().makeCopy();
        site.store().restore(*copy);
        co_await pauseFor(seconds(2));
        co_await comeBackFrom(site, copyWithoutUpstreams);
        const auto until = std::chrono::steady_clock::now() + seconds(3);
        while (std::chrono::steady_clock::now() < until) {
            co_await expectStatus(site, kBookingPath, 200);
        }
    });
}

TEST(ProcessStoreRestore, EntriesWriteTheirAddressesAgain)
{
    runOnSite(siteWithEra(), [](relay_site &site) -> asio::awaitable<void> {
        const auto copy = site.store().makeCopy();
        site.store().removeKeys(kEntriesTopic, "");
        const auto copyWithoutEntries = site.store().makeCopy();
        site.store().restore(*copy);
        co_await pauseFor(seconds(1));
        co_await comeBackFrom(site, copyWithoutEntries);
        co_await pauseFor(seconds(4));
        EXPECT_EQ(site.store().keysOf(kEntriesTopic).size(), site.entryCount());
    });
}

// Regression test: an entry that started on the older copy, and learns of changes from other entries, never heard that an upstream leaves,
// since for the others nothing had changed.
TEST(ProcessStoreRestore, EntryThatStartsOnTheOlderCopyStopsUsingUpstreamsThatLeave)
{
    relay_site_settings settings = siteWithEra();
    settings.entries = 5;
    runOnSite(settings, [](relay_site &site) -> asio::awaitable<void> {
        standins::site_upstream &leaving = *site.upstreams().back();
        const auto copy = site.store().makeCopy();
        const auto drainedAt = std::chrono::steady_clock::now();
        leaving.drain();
        co_await pauseFor(seconds(2));
        standins::upstream_faults withheld;
        withheld.withholdReports = true;
        leaving.setFaults(withheld);
        const std::size_t newest = site.entryCount() - 1;
        site.entry(newest).signal(SIGKILL);
        site.entry(newest).waitForEnd(seconds(5));
        co_await comeBackFrom(site, copy);
        last_reason reason;
        EXPECT_TRUE(site.restart(newest, &reason)) << reason.text();
        const bool ready = co_await site.waitUntilReady(seconds(10));
        EXPECT_TRUE(ready) << site.unreadyReason();
        // By now the entry relies on what others read.
        co_await pauseFor(seconds(4));
        leaving.setFaults({});
        // The upstream reports every 0.3 s, and has to get no more work 2 s later.
        co_await pauseFor(seconds(3));
        const auto steadyFrom = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - drainedAt);
        for (int i = 0; i < 100; ++i) {
            const caller_result result = co_await site.call(newest, kLookupPath, kRequestDeadline);
            EXPECT_EQ(result.status, 200U);
        }
        EXPECT_EQ(leaving.runsAfterDrain(steadyFrom), 0);
    });
}
