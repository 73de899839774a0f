#include "stream_client.hpp"

#include <csignal>
#include <memory>
#include <vector>

using namespace review;
using namespace heatherroute::support;

namespace
{

constexpr milliseconds kDownTime{500};
/// After which callers come back: `StabilityWindowMs` after the restart the entries are in touch again.
constexpr milliseconds kComeBackAfter{4'500};
constexpr int kCallers = 40;
constexpr milliseconds kStagger{23}; ///< Between the first streams of two callers.
constexpr int kNeeded = 12; ///< Streams that are taken up, below which the rule doesn't hold.

/// Starts callers that read streams until @p isStopping.
std::vector<std::unique_ptr<stream_client>> startCallers(relay_site &site, const std::string &name, stream_counts &counts, const bool &isStopping)
{
    std::vector<std::unique_ptr<stream_client>> callers;
    for (int i = 0; i < kCallers; ++i) {
        callers.push_back(std::make_unique<stream_client>(site, name + std::to_string(i), counts, isStopping, kComeBackAfter));
        const auto run = [](stream_client &caller, milliseconds delay) -> asio::awaitable<void> {
            co_await pauseFor(delay);
            co_await caller.run();
        };
        asio::co_spawn(site.executor(), run(*callers.back(), kStagger * i), asio::detached);
    }
    return callers;
}

} // namespace

int main(int argc, char **argv)
{
    record log(argc > 1 ? argv[1] : "record.txt");
    relay_site_settings settings;
    settings.program = "target/heatherrouted";
    settings.entries = 12;
    settings.prefillEngines = 1;
    settings.decodeEngines = 3;
    settings.services = 0;
    settings.eventInterval = milliseconds(30); // 0.36 s for a whole stream.
    return runCase(settings, log, [&log](relay_site &site) -> asio::awaitable<int> {
        // As the site's own routes, but streams may be resumed.
        site.store().put("keyed.op",
                         "config",
                         R"({"Version":7,"Routes":[{"Name":"gen","Host":"site.example","PathPrefix":"/gen/","Kind":"stream","TimeoutMs":14000,)"
                         R"("TargetLatencyMs":900,"Priority":1,"Service":"llm","MaxAttempts":2,"Sticky":true,"Resumable":true,"GapAimMs":300}],)"
                         R"("Services":[{"Name":"llm","HealthPath":"/healthz","MaxConnections":720,)"
                         R"("Engine":{"Slots":64,"KvCapacityTokens":102942,"KvTtlS":0.5,"RoleSwitchS":6,"HoldMs":2000}}],)"
                         R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})");
        co_await pauseFor(seconds(5));
        stream_counts before;
        bool isFirstStopping = false;
        const auto callers = startCallers(site, "a", before, isFirstStopping);
        co_await pauseFor(seconds(10));
        // These callers begin no more streams; those with a broken stream come back.
        isFirstStopping = true;
        if (hasTrouble()) {
            log.line("all entries are killed; streams begun so far " + std::to_string(before.begun));
            for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
                site.entry(entry).signal(SIGKILL);
            }
            co_await pauseFor(kDownTime);
            for (std::size_t entry = 0; entry < site.entryCount(); ++entry) {
                site.entry(entry).waitForEnd(seconds(5));
                if (!site.restart(entry, nullptr)) {
                    co_return kNotRun;
                }
            }
            log.line("all entries have been started again");
        }
        co_await pauseFor(milliseconds(3'500));
        stream_counts after;
        bool isSecondStopping = false;
        const auto others = startCallers(site, "b", after, isSecondStopping);
        co_await pauseFor(seconds(16));
        isSecondStopping = true;
        co_await pauseFor(seconds(2));
        recordVersions(site, before, log);
        log.line("streams taken up at entries in touch " + std::to_string(before.streamsTakenUp) + ", of these gone on " + std::to_string(before.streamsGoneOn)
                 + ", attempts refused " + std::to_string(before.refused));
        log.line("attempts to begin streams meanwhile " + std::to_string(after.newAttempts) + ", begun " + std::to_string(after.begun));
        const double goneOn = before.streamsTakenUp == 0 ? 1.0 : static_cast<double>(before.streamsGoneOn) / before.streamsTakenUp;
        const double begun = after.newAttempts == 0 ? 0.0 : static_cast<double>(after.begun) / after.newAttempts;
        log.line("share of streams that go on " + std::to_string(goneOn) + ", share of new streams that begin " + std::to_string(begun));
        co_return before.streamsTakenUp >= kNeeded &&goneOn < begun / 2 ? kBroken : kHeld;
    });
}
