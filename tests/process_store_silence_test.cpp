#include <gtest/gtest.h>

#include <csignal>

#include "support/relay_site.h"
#include "support/site_run.h"

using namespace heatherroute;
using namespace heatherroute::support;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;
using clock_type = std::chrono::steady_clock;

namespace
{

/// Entries are in touch again this long after an outage of the store.
constexpr milliseconds kStabilityWindow{3'000};
/// After which a configuration in the store is in force at entries in touch.
constexpr milliseconds kConfigApplyTime{2'000};
/// After which entries serve again when all of them were killed.
constexpr seconds kRecoveryTime{12};
constexpr milliseconds kRequestDeadline{500};

relay_site_settings siteOf(std::size_t entries)
{
    relay_site_settings settings;
    settings.entries = entries;
    return settings;
}

/// Drops all bytes between the store and the entries, or doesn't any more. What is dropped is lost.
void setSilent(relay_site &site, bool isSilent)
{
    for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
        site.storeProxy(entry).setFault(isSilent ? proxy_fault::DropAll : proxy_fault::None);
    }
}

} // namespace

// Regression test: reads that were sent while the store was silent were kept for up to 6 s after it was back, and entries acted by an old
// configuration meanwhile.
TEST(ProcessStoreSilence, ConfigurationIsAppliedSoonAfterTheStoreIsBack)
{
    runOnSite(siteOf(12), [](relay_site &site) -> asio::awaitable<void> {
        co_await pauseFor(seconds(3));
        for (int round = 0; round < 2; ++round) {
            setSilent(site, true);
            co_await pauseFor(milliseconds(7'600));
            setSilent(site, false);
            co_await pauseFor(milliseconds(600));
            setSilent(site, true);
            co_await pauseFor(milliseconds(3'800));
            setSilent(site, false);
            const auto backAt = clock_type::now();
            co_await pauseFor(milliseconds(900));
            site.publish(false);
            const auto boundAt = std::max(backAt + kStabilityWindow, clock_type::now() + kConfigApplyTime);
            co_await pauseFor(std::chrono::duration_cast<milliseconds>(boundAt - clock_type::now()) + milliseconds(20));
            while (clock_type::now() < backAt + seconds(5)) {
                for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
                    const auto sentAt = clock_type::now();
                    const caller_result result = co_await site.call(entry, kLookupPath, kRequestDeadline);
                    const auto since = std::chrono::duration_cast<milliseconds>(sentAt - backAt);
                    EXPECT_EQ(result.status, 404U) << "entry " << entry << ", " << since.count() << " ms after the store was back";
                }
                co_await pauseFor(milliseconds(100));
            }
            site.publish(true);
            co_await pauseFor(milliseconds(2'500));
        }
    });
}

// Regression test: entries that had all been killed while the store was silent missed the moment in which it answered and then waited for a read
// of the next silence.
TEST(ProcessStoreSilence, EntriesRecoverAlthoughTheStoreIsSilentTwice)
{
    runOnSite(siteOf(12), [](relay_site &site) -> asio::awaitable<void> {
        co_await pauseFor(seconds(3));
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            site.entry(entry).signal(SIGKILL);
        }
        setSilent(site, true);
        co_await pauseFor(milliseconds(600));
        const auto startedAt = clock_type::now();
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            site.entry(entry).waitForEnd(seconds(5));
            last_reason reason;
            EXPECT_TRUE(site.restart(entry, &reason)) << reason.text();
        }
        co_await pauseFor(std::chrono::duration_cast<milliseconds>(startedAt + milliseconds(7'900) - clock_type::now()));
        setSilent(site, false);
        co_await pauseFor(milliseconds(1'400));
        setSilent(site, true);
        co_await pauseFor(seconds(1));
        setSilent(site, false);
        co_await pauseFor(std::chrono::duration_cast<milliseconds>(startedAt + kRecoveryTime - clock_type::now()));
        for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
            const caller_result result = co_await site.call(entry, kLookupPath, kRequestDeadline);
            EXPECT_EQ(result.status, 200U) << "entry " << entry;
        }
    });
}
