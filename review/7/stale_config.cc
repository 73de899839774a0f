// Shows that entries act by an old configuration long after the store, which was silent for some seconds, answers again.
// Usage: stale_config PROGRAM RECORD; PROGRAM is the entry's program. TROUBLE=0 in the environment leaves out the silence.
// Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

#include "support/relay_site.h"

namespace asio = boost::asio;
using namespace heatherroute;
using namespace heatherroute::support;
using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

namespace
{

// Bounds of the pages (SYSTEM.md, dn-seo-shops).
constexpr milliseconds kConfigApply{2'000}; // ConfigApplyMs
constexpr milliseconds kStability{3'000}; // StabilityWindowMs
constexpr std::size_t kEntries = 12; // As in dn-seo-shops.
/// As in day.toml: the store is silent, answers for a moment, and is silent again.
constexpr milliseconds kFirstSilence{7'600};
constexpr milliseconds kBetween{600};
constexpr milliseconds kSecondSilence{3'800};
constexpr int kRounds = 4;

struct test_case
{
    std::ofstream record;
    bool hasTrouble = true;
    int broken = 0;
    int asked = 0;
    clock_type::time_point startedAt = clock_type::now();

    double seconds() const
    {
        return std::chrono::duration<double>(clock_type::now() - startedAt).count();
    }
    void note(const std::string &text)
    {
        char at[32];
        std::snprintf(at, sizeof(at), "%8.3f s  ", seconds());
        record << at << text << std::endl;
    }
};

asio::awaitable<void> pauseFor(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

void setSilent(test_case &test, relay_site &site, bool isSilent)
{
    if (!test.hasTrouble) {
        return;
    }
    test.note(isSilent ? "the store is silent" : "the store answers");
    for (std::size_t i = 0; i < kEntries; ++i) {
        site.storeProxy(i).setFault(isSilent ? proxy_fault::DropAll : proxy_fault::None);
    }
}

// One round: the store is silent twice, comes back, and the configuration drops a route soon after.
asio::awaitable<void> runRound(test_case &test, relay_site &site)
{
    setSilent(test, site, true);
    co_await pauseFor(kFirstSilence);
    setSilent(test, site, false);
    co_await pauseFor(kBetween);
    setSilent(test, site, true);
    co_await pauseFor(kSecondSilence);
    setSilent(test, site, false);
    const auto backAt = clock_type::now();
    co_await pauseFor(milliseconds(900));
    site.publish(false);
    const auto ackAt = clock_type::now();
    test.note("configuration without /look/ is in the store");
    const auto boundAt = std::max(backAt + kStability, ackAt + kConfigApply);
    co_await pauseFor(std::chrono::duration_cast<milliseconds>(boundAt - clock_type::now()) + milliseconds(20));
    while (clock_type::now() < backAt + milliseconds(6'000)) {
        for (std::size_t i = 0; i < kEntries; ++i) {
            const auto sentAt = clock_type::now();
            const caller_result result = co_await site.call(i, kLookupPath, milliseconds(500));
            const bool hasRun = site.runCountOf(result.id) > 0;
            ++test.asked;
            if (hasRun || result.status == 200) {
                ++test.broken;
                const auto since = [sentAt](clock_type::time_point from) {
                    return std::to_string(std::chrono::duration_cast<milliseconds>(sentAt - from).count()) + " ms";
                };
                test.note("BROKEN: " + result.id + " GET " + result.path + " at " + relay_site::entryName(i) + ", sent " + since(ackAt) + " after the ack and "
                          + since(backAt) + " after the store was back: status " + std::to_string(result.status) + ", run " + (hasRun ? "yes" : "no"));
            }
        }
        co_await pauseFor(milliseconds(100));
    }
    test.note("round ended; requests on the dropped route so far " + std::to_string(test.asked) + ", run " + std::to_string(test.broken));
    site.publish(true);
    co_await pauseFor(milliseconds(2'500));
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    test_case test;
    test.record.open(argv[2]);
    const char *trouble = std::getenv("TROUBLE");
    test.hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    asio::io_context context(1);
    relay_site_settings settings;
    settings.program = argv[1];
    settings.entries = kEntries;
    last_reason reason;
    const auto site = relay_site::make(context, settings, &reason);
    if (!site) {
        test.note("cannot start: " + reason.text());
        return 2;
    }
    bool ended = false;
    const auto run = [&]() -> asio::awaitable<void> {
        if (!co_await site->waitUntilReady(std::chrono::seconds(20))) {
            test.note("not ready: " + site->unreadyReason());
            context.stop();
            co_return;
        }
        test.note(std::to_string(kEntries) + " entries are ready");
        co_await pauseFor(milliseconds(3'000));
        for (int round = 0; round < kRounds; ++round) {
            co_await runRound(test, *site);
        }
        ended = true;
        context.stop();
    };
    asio::co_spawn(context, run, [&](const std::exception_ptr &failure) {
        if (failure) {
            context.stop();
        }
    });
    context.run_for(std::chrono::seconds(112));
    if (!ended) {
        test.note("the case has not ended");
        return 2;
    }
    test.note(std::string("rule ") + (test.broken > 0 ? "broken" : "held"));
    return test.broken > 0 ? 1 : 0;
}
