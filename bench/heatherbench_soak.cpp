#include "heatherbench_commands.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <random>
#include <set>

#include "heatherbench_options.h"
#include "support/relay_site.h"
#include "support/soak_audit.h"

namespace heatherroute::bench
{

namespace asio = boost::asio;
using namespace heatherroute::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds kRequestTimeout{2'000};
constexpr milliseconds kRequestPause{15}; ///< Between two requests of one caller.
constexpr milliseconds kSlowReadPause{300}; ///< Between two pieces of an answer that a slow caller reads.
constexpr milliseconds kPoisonPause{50}; ///< Between two attempts of the caller whose request crashes upstreams.
constexpr std::size_t kPoisonCallers = 8; ///< Addresses from which that request comes.
constexpr milliseconds kPoisonPartPause{120}; ///< Between two requests with a part that crashes engines.
constexpr std::size_t kStreamCallers = 6;
constexpr std::size_t kStreamCallersAtPowerLoss = 20; ///< So that the streams that are taken up after it can be judged.
constexpr milliseconds kStreamCallerPause{50}; ///< Between two streams of one of them.
constexpr milliseconds kMaxPoisonDelay{2'000}; ///< From the start of the callers until its first attempt.
constexpr milliseconds kMaxFaultInterval{350};
constexpr milliseconds kMaxFaultDuration{2'500};
constexpr milliseconds kMaxProcessPause{1'500}; ///< Between SIGSTOP and SIGCONT.
constexpr milliseconds kDrainSlack{4'000}; ///< Twice the drain limit of 2 s, because an entry process may have been paused.
constexpr seconds kRecoveryTimeout{30};
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;

/// Whether all entries lose power late in the run.
bool losesPower(std::uint64_t seed)
{
    return seed % 5 == 4;
}

/// Whether entries lose their links to the upstreams.
bool cutsLinks(std::uint64_t seed)
{
    return seed % 5 == 2;
}

/// Options of one soak run.
struct soak_options
{
    std::uint64_t seed = 1;
    seconds duration{20};
    std::size_t callers = 24;
    std::string logFolder; ///< Where the entries' logs of a run with violations are kept; nowhere when empty.
    bool checkDurations = true; ///< Whether a response that takes too long is a violation; false on a machine with other load.
    relay_site_settings site;
};

/**
 * Sends requests to entry processes while faults are injected from outside, one after another and overlapping.
 *
 * The seed determines the kinds and times of the faults. The responses to callers also depend on the timing of the machine,
 * so only the guarantees to callers are checked. Not thread safe.
 */
class soak
{
public:
    soak(asio::io_context &context, const soak_options &options, relay_site &site)
        : m_context(context)
        , m_options(options)
        , m_site(site)
        , m_random(options.seed)
        , m_streamCallers(site, losesPower(options.seed) ? kStreamCallersAtPowerLoss : kStreamCallers, kStreamCallerPause)
        , m_disturbanceCounts(site.entryCount(), 0)
        , m_proxyFaults(site.entryCount(), 0)
        , m_entryCalmSince(site.entryCount(), std::chrono::steady_clock::now())
    { }

    asio::awaitable<void> run()
    {
        // The first configuration, which relay_site published, routes lookups.
        m_audit.recordPublication({}, true);
        putOddRecords();
        const bool ready = co_await m_site.waitUntilReady(kRecoveryTimeout);
        if (!ready) {
            m_audit.recordNotRecovered(0);
            co_return;
        }
        for (std::size_t caller = 0; caller < m_options.callers; ++caller) {
            asio::co_spawn(m_context, runCaller(m_options.seed + caller), asio::detached);
        }
        m_streamCallers.setDisturbances([this](std::size_t entry) { return m_disturbanceCounts[entry]; });
        m_streamCallers.start(m_context.get_executor());
        asio::co_spawn(m_context, limitUpstreams(), asio::detached);
        asio::co_spawn(m_context, cutLinks(), asio::detached);
        asio::co_spawn(m_context, runPoisonCaller(), asio::detached);
        // With every other seed some requests share a part of their prompts that crashes engines, with some of these there are two such parts.
        for (std::uint64_t part = 0; part < m_options.seed % 4; part += 2) {
            asio::co_spawn(m_context, runPoisonPartCaller("a1:100,bad" + std::to_string(part) + ":40"), asio::detached);
        }
        const auto start = std::chrono::steady_clock::now();
        m_faultsFrom = start;
        const auto until = start + m_options.duration;
        bool drained = false;
        bool lostPower = false;
        while (std::chrono::steady_clock::now() < until) {
            co_await pause(milliseconds(randomBelow(kMaxFaultInterval.count())));
            if (losesPower(m_options.seed) && !lostPower && std::chrono::steady_clock::now() > start + m_options.duration * 3 / 4) {
                lostPower = true;
                asio::co_spawn(m_context, killAllEntries(), asio::detached);
            }
            if (!drained && std::chrono::steady_clock::now() > start + m_options.duration / 3) {
                drained = true;
                m_site.upstreams().back()->drain();
            }
            asio::co_spawn(m_context, injectFault(), asio::detached);
        }
        m_stopping = true;
        while (m_activeTasks > 0) {
            co_await pause(milliseconds(20));
        }
        co_await m_streamCallers.stop();
        co_await checkRecovery();
        for (std::size_t entry = 0; entry < m_site.entryCount(); ++entry) {
            m_audit.excuseForwarded(m_site.logOf(entry));
        }
        m_audit.checkFirstTries();
        m_audit.checkExecutions([this](const std::string &id) { return m_site.runCountOf(id); });
        m_audit.checkArrivals(m_site.upstreamLog());
        m_audit.checkLimits(m_site.upstreamLog());
        m_audit.checkStatements(m_site.upstreamLog());
        m_audit.checkStreams(m_site.upstreamLog(), m_streamCallers, losesPower(m_options.seed));
        m_audit.checkOrders(m_site.upstreamLog().orders);
        for (const auto &upstream : m_site.upstreams()) {
            m_audit.recordRunsAfterDrain(upstream->id(), upstream->runsAfterDrain(kDrainSlack));
        }
    }

    /// Another writer has left records that name no upstream.
    void putOddRecords()
    {
        const std::string fields = R"({"Service":"portal","Zone":"z","State":"ready","Sequence":1,"born":1,)";
        for (const char *const key : {"odd", "odd id", "odd\r\nid"}) {
            m_site.store().put("keyed.servers", key + std::string("-port"), fields + R"("Address":"127.0.0.1:0","Slots":1})");
            m_site.store().put("keyed.servers", key, fields + R"("Address":"127.0.0.1:9","Slots":1e308})");
        }
        m_site.store().put("keyed.servers", "odd line\r\nend", fields + R"("Address":"127.0.0.1:9","Slots":1})");
        m_site.store().put("keyed.servers", "deep", std::string(5'000, '['));
        m_site.store().put("heatherroute-origins", "odd", "[[[");
    }

    const soak_audit &audit() const noexcept
    {
        return m_audit;
    }
    /// The number of orders that engines have accepted.
    std::size_t orders() const noexcept
    {
        return m_site.upstreamLog().orders.size();
    }

private:
    /// Returns a random integer from 0 to @p below - 1.
    std::int64_t randomBelow(std::int64_t below)
    {
        return std::uniform_int_distribution<std::int64_t>(0, below - 1)(m_random);
    }

    asio::awaitable<void> pause(milliseconds duration)
    {
        asio::steady_timer timer(m_context, duration);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<void> runCaller(std::uint64_t seed)
    {
        ++m_activeTasks;
        std::mt19937_64 random(seed);
        const char *const paths[] = {kLookupPath, kBookingPath, kStreamPath};
        while (!m_stopping) {
            const std::size_t entry = random() % m_site.entryCount();
            std::string path = paths[random() % std::size(paths)];
            const std::uint64_t before = m_disturbanceCounts[entry];
            const std::string process = processLabel(entry);
            const auto sent = std::chrono::steady_clock::now();
            const bool steady = isSteady(entry, sent);
            const bool isJudged = m_linksCutAt && sent - *m_linksCutAt > kStabilityWindow;
            const bool isCutOff = m_cutEntries.contains(entry);
            const bool wasDisturbed = m_disturbedEntries.contains(entry);
            const bool undisturbed = !wasDisturbed && sent - m_entryCalmSince[entry] > kStabilityWindow;
            caller_request request;
            request.path = std::move(path);
            request.timeLeft = kRequestTimeout;
            request.readPause = random() % 8 == 0 ? kSlowReadPause : milliseconds(0);
            request.promptParts = "a1:100,";
            if (random() % 2 == 0) {
                request.promptParts.append("b").append(std::to_string(random() % 3)).append(":40,");
            }
            request.promptParts.append("d").append(std::to_string(random())).append(":360");
            const caller_result result = co_await m_site.call(entry, std::move(request));
            if (result.path == kStreamPath) {
                m_audit.recordSoundStream(result, sent);
            }
            if (result.path == kLookupPath && (result.status == kOk || result.status == kNotFound) && process == processLabel(entry)) {
                m_audit.recordLookup(process, sent, std::chrono::steady_clock::now(), result.status == kOk, steady);
            }
            m_audit.recordSender(result.id, process + ", disturbance " + std::to_string(before), sent);
            if (isJudged && m_linksCutAt && !wasDisturbed && m_disturbanceCounts[entry] == before) {
                m_audit.recordFirstTry({result.path, sent, isCutOff, undisturbed, result.status == kOk});
            }
            m_audit.recordUndisturbed(result.id, undisturbed && m_disturbanceCounts[entry] == before);
            m_audit.recordResult(result, !m_options.checkDurations || m_disturbedEntries.count(entry) > 0 || m_disturbanceCounts[entry] != before);
            co_await pause(kRequestPause);
        }
        --m_activeTasks;
    }

    /// Whether entry @p entry and its path to the store have been undisturbed for the stability window.
    bool isSteady(std::size_t entry, std::chrono::steady_clock::time_point now) const
    {
        const bool disturbed = m_storeFaults > 0 || m_proxyFaults[entry] > 0 || m_disturbedEntries.contains(entry);
        return !disturbed && now - std::max(m_storeCalmSince, m_entryCalmSince[entry]) > kStabilityWindow;
    }

    /// Sends one request again and again that crashes each upstream that runs it, a plain one from several addresses. The seed determines its
    /// kind and when it begins.
    asio::awaitable<void> runPoisonCaller()
    {
        ++m_activeTasks;
        const std::string path = kPoisonPaths[static_cast<std::size_t>(randomBelow(std::size(kPoisonPaths)))];
        co_await pause(milliseconds(randomBelow(kMaxPoisonDelay.count())));
        std::mt19937_64 random(m_options.seed);
        while (!m_stopping) {
            const std::size_t entry = random() % m_site.entryCount();
            const std::size_t caller = random() % kPoisonCallers;
            if (caller > 0 && path != kPoisonPaths[2]) {
                co_await m_site.sendFrom(caller, entry, path, kRequestTimeout);
            } else {
                const caller_result result = co_await m_site.call(entry, path, kRequestTimeout);
                m_audit.recordResult(result, true);
            }
            co_await pause(kPoisonPause);
        }
        --m_activeTasks;
    }

    /// Sends streams that are all different but for the shared @p parts of their prompts, one of which crashes engines.
    asio::awaitable<void> runPoisonPartCaller(std::string parts)
    {
        ++m_activeTasks;
        co_await pause(milliseconds(randomBelow(kMaxPoisonDelay.count())));
        std::mt19937_64 random(m_options.seed);
        while (!m_stopping) {
            const std::string number = std::to_string(++m_poisonPartRequests);
            caller_request request;
            request.path = "/gen/" + number;
            request.timeLeft = kRequestTimeout;
            request.promptParts = parts;
            request.promptParts.append(",c").append(number).append(":360");
            const caller_result result = co_await m_site.call(random() % m_site.entryCount(), std::move(request));
            m_audit.recordResult(result, true);
            co_await pause(kPoisonPartPause);
        }
        --m_activeTasks;
    }

    /// Lets some upstreams, with two of three seeds, name limits that change from time to time.
    asio::awaitable<void> limitUpstreams()
    {
        ++m_activeTasks;
        const char *const limits[] = {"0.5", "2", "6", "many"};
        std::mt19937_64 random(m_options.seed);
        while (!m_stopping && m_options.seed % 3 != 0) {
            standins::site_upstream &upstream = *m_site.upstreams()[random() % m_site.upstreams().size()];
            upstream.setLimit(random() % 4 == 0 ? "" : limits[random() % std::size(limits)]);
            co_await pause(milliseconds(500 + random() % 2'500));
        }
        --m_activeTasks;
    }

    /// Cuts some entries, or most, off from all upstreams, again and again. With some cuts open connections are reset.
    asio::awaitable<void> cutLinks()
    {
        ++m_activeTasks;
        std::mt19937_64 random(m_options.seed);
        while (!m_stopping && cutsLinks(m_options.seed)) {
            const std::size_t count = 1 + random() % (m_site.entryCount() - 1);
            const bool resets = random() % 2 == 0;
            while (m_cutEntries.size() < count) {
                m_cutEntries.insert(random() % m_site.entryCount());
            }
            for (const std::size_t entry : m_cutEntries) {
                m_site.cutFromUpstreams(entry, true, resets);
            }
            m_linksCutAt = std::chrono::steady_clock::now();
            const auto until = *m_linksCutAt + kStabilityWindow + seconds(1 + random() % 4);
            while (!m_stopping && std::chrono::steady_clock::now() < until) {
                co_await pause(kPoisonPause);
                // Upstreams that have come back meanwhile listen on sockets of their own.
                for (const std::size_t entry : m_cutEntries) {
                    m_site.cutFromUpstreams(entry, true);
                }
            }
            m_linksCutAt.reset();
            for (const std::size_t entry : m_cutEntries) {
                m_site.cutFromUpstreams(entry, false);
            }
            m_cutEntries.clear();
            co_await pause(milliseconds(random() % 1'500));
        }
        --m_activeTasks;
    }

    asio::awaitable<void> injectFault()
    {
        ++m_activeTasks;
        const milliseconds duration(randomBelow(kMaxFaultDuration.count()));
        const auto entry = static_cast<std::size_t>(randomBelow(static_cast<std::int64_t>(m_site.entryCount())));
        const std::int64_t kind = randomBelow(7);
        // With some seeds the store has no more faults after a while, so that the bound for configurations is due, or the records of streams count.
        const bool staysCalm = m_options.seed % 3 == 0 || losesPower(m_options.seed);
        const bool storeIsCalm = staysCalm && std::chrono::steady_clock::now() > m_faultsFrom + m_options.duration / 4;
        if (storeIsCalm && kind < 3) {
            --m_activeTasks;
            co_return;
        }
        switch (kind) {
        case 0:
            co_await injectStoreFault(duration);
            break;
        case 1:
        case 2:
            co_await injectStoreProxyFault(entry, duration);
            break;
        case 3:
        case 4:
            co_await injectUpstreamFault(duration);
            break;
        case 5:
            publish(randomBelow(3) > 0);
            break;
        default:
            co_await injectProcessFault(entry);
        }
        --m_activeTasks;
    }

    void publish(bool lookups)
    {
        m_lookups = lookups;
        m_audit.recordPublication(std::chrono::steady_clock::now(), lookups);
        m_site.publish(lookups);
    }

    std::string processLabel(std::size_t entry)
    {
        return "entry " + std::to_string(entry) + ", process " + std::to_string(m_site.entry(entry).pid());
    }

    asio::awaitable<void> injectStoreFault(milliseconds duration)
    {
        ++m_storeFaults;
        standins::store_faults faults;
        faults.busy = randomBelow(3) == 0;
        faults.silent = !faults.busy && randomBelow(2) == 0;
        faults.delay = milliseconds(randomBelow(300));
        faults.unframed = randomBelow(3) == 0;
        faults.cutAnswers = randomBelow(4) == 0;
        if (randomBelow(4) == 0) {
            m_site.store().removeHistory("keyed.op");
            m_site.store().removeHistory("keyed.servers");
        }
        const auto copy = randomBelow(4) == 0 ? m_site.store().makeCopy() : nullptr;
        m_site.store().setFaults(faults);
        co_await pause(duration);
        if (copy) {
            // The store comes back as it was before; the operator writes its configuration again.
            m_site.store().restore(*copy);
            publish(m_lookups);
        }
        m_site.store().setFaults({});
        --m_storeFaults;
        m_storeCalmSince = std::chrono::steady_clock::now();
    }

    asio::awaitable<void> injectStoreProxyFault(std::size_t entry, milliseconds duration)
    {
        ++m_proxyFaults[entry];
        fault_proxy &proxy = m_site.storeProxy(entry);
        const auto fault = static_cast<proxy_fault>(1 + randomBelow(static_cast<std::int64_t>(proxy_fault::DropAll)));
        proxy.setFault(fault);
        proxy.setDelay(milliseconds(randomBelow(100)));
        co_await pause(duration);
        // Connections that lost bytes can't continue, because their streams have gaps.
        proxy.resetAll();
        proxy.setFault(proxy_fault::None);
        proxy.setDelay(milliseconds(0));
        --m_proxyFaults[entry];
        m_entryCalmSince[entry] = std::chrono::steady_clock::now();
    }

    asio::awaitable<void> injectUpstreamFault(milliseconds duration)
    {
        standins::site_upstream &upstream = *m_site.upstreams()[static_cast<std::size_t>(randomBelow(static_cast<std::int64_t>(m_site.upstreams().size())))];
        standins::upstream_faults faults;
        switch (randomBelow(18)) {
        case 17:
            // It ends soon after it has said that it leaves, and another one comes.
            faults.leaving = true;
            upstream.setFaults(faults);
            co_await pause(kDrainTime + duration);
            upstream.setFaults({});
            upstream.release(upstream.version(), false);
            co_return;
        case 16: {
            const char *const pauses[] = {"0.3", "1", "2.5", "0", "soon"};
            faults.refuse = true;
            faults.pause = pauses[static_cast<std::size_t>(randomBelow(std::size(pauses)))];
            break;
        }
        case 15:
            faults.earlierRefusals = true;
            break;
        case 14:
            faults.failEarly = true;
            break;
        case 13:
            // A release, with or without a new id.
            upstream.release(upstream.version() == "v1" ? "v1.1" : "v1", randomBelow(2) == 0);
            co_return;
        case 12:
            faults.silentCrashes = true;
            break;
        case 6:
            faults.endlessAnswers = true;
            break;
        case 7:
            faults.longHeads = true;
            break;
        case 8:
            faults.breakAnswers = true;
            faults.unframed = randomBelow(2) == 0;
            break;
        case 9:
            faults.cutCallAnswers = true;
            faults.unframed = randomBelow(2) == 0;
            break;
        case 10:
            faults.cutStreams = true;
            faults.unframed = randomBelow(2) == 0;
            break;
        case 11:
            faults.unframed = true;
            break;
        case 0:
            faults.hang = true;
            break;
        case 1:
            faults.loseAnswers = true;
            break;
        case 2:
            faults.fail = true;
            break;
        case 3:
            faults.refuse = true;
            break;
        case 4:
            faults.mismatchedAnswers = true;
            break;
        default:
            faults.breakStreams = true;
            faults.unframed = randomBelow(2) == 0;
        }
        upstream.setFaults(faults);
        co_await pause(duration);
        upstream.setFaults({});
    }

    /// Pauses entry @p entry, sends it SIGHUP, or kills or stops and restarts it. Does nothing while an earlier
    /// process fault of this entry is in progress.
    asio::awaitable<void> injectProcessFault(std::size_t entry)
    {
        if (!m_disturbedEntries.insert(entry).second) {
            co_return;
        }
        ++m_disturbanceCounts[entry];
        const std::int64_t kind = randomBelow(4);
        if (kind == 0) {
            m_site.entry(entry).signal(SIGSTOP);
            co_await pause(milliseconds(randomBelow(kMaxProcessPause.count())));
            m_site.entry(entry).signal(SIGCONT);
        } else if (kind == 1) {
            m_site.entry(entry).signal(SIGHUP);
        } else {
            m_site.entry(entry).signal(kind == 2 ? SIGKILL : SIGTERM);
            while (!m_site.entry(entry).waitForEnd(milliseconds(0))) {
                co_await pause(milliseconds(20));
            }
        }
        endDisturbance(entry);
    }

    /// Ends a process fault of entry @p entry, and starts it again if it has ended, which it also may have when all entries lost power.
    void endDisturbance(std::size_t entry)
    {
        last_reason reason;
        if (m_site.entry(entry).waitForEnd(milliseconds(0)) && !m_site.restart(entry, &reason)) {
            m_audit.recordNotRecovered(entry);
        }
        ++m_disturbanceCounts[entry];
        m_disturbedEntries.erase(entry);
        m_entryCalmSince[entry] = std::chrono::steady_clock::now();
    }

    /// All entries lose power at the same moment and start again.
    asio::awaitable<void> killAllEntries()
    {
        ++m_activeTasks;
        const auto lostAt = std::chrono::steady_clock::now();
        std::vector<std::size_t> killed;
        for (std::size_t entry = 0; entry < m_site.entryCount(); ++entry) {
            if (m_disturbedEntries.insert(entry).second) {
                killed.push_back(entry);
                ++m_disturbanceCounts[entry];
            }
            m_site.entry(entry).signal(SIGKILL);
        }
        co_await pause(milliseconds(randomBelow(kMaxProcessPause.count())));
        for (const std::size_t entry : killed) {
            while (!m_site.entry(entry).waitForEnd(milliseconds(0))) {
                co_await pause(milliseconds(20));
            }
            endDisturbance(entry);
        }
        m_audit.recordPowerLoss(lostAt, std::chrono::steady_clock::now());
        --m_activeTasks;
    }

    asio::awaitable<void> checkRecovery()
    {
        publish(true);
        for (std::size_t entry = 0; entry < m_site.entryCount(); ++entry) {
            const auto until = std::chrono::steady_clock::now() + kRecoveryTimeout;
            bool isServing = false;
            while (!isServing && std::chrono::steady_clock::now() < until) {
                const caller_result result = co_await m_site.call(entry, kLookupPath, kRequestTimeout);
                isServing = result.status == 200;
                co_await pause(milliseconds(50));
            }
            if (!isServing) {
                m_audit.recordNotRecovered(entry);
            }
        }
    }

    asio::io_context &m_context;
    const soak_options &m_options;
    relay_site &m_site;
    std::mt19937_64 m_random;
    soak_audit m_audit;
    stream_callers m_streamCallers; ///< They take up streams that are broken off.
    std::vector<std::uint64_t> m_disturbanceCounts; ///< Process faults by entry, each counted at its start and at its end.
    std::set<std::size_t> m_disturbedEntries; ///< Entries with a process fault in progress.
    std::chrono::steady_clock::time_point m_faultsFrom; ///< Start of the fault injection.
    std::size_t m_storeFaults = 0; ///< In progress.
    std::vector<std::size_t> m_proxyFaults; ///< In progress, by entry.
    std::set<std::size_t> m_cutEntries; ///< Entries that reach no upstream.
    std::optional<std::chrono::steady_clock::time_point> m_linksCutAt; ///< When they lost their links.
    std::chrono::steady_clock::time_point m_storeCalmSince = std::chrono::steady_clock::now();
    std::vector<std::chrono::steady_clock::time_point> m_entryCalmSince;
    std::size_t m_activeTasks = 0;
    std::uint64_t m_poisonPartRequests = 0;
    bool m_lookups = true; ///< Whether the newest configuration routes lookups.
    bool m_stopping = false;
};

/// Runs one seed; returns whether it ended without a violation.
bool runSeed(const soak_options &options, std::ostream &out)
{
    asio::io_context context(1);
    last_reason reason;
    const auto site = relay_site::make(context, options.site, &reason);
    if (!site) {
        out << "soak: cannot start the site: " << reason.text() << '\n';
        return false;
    }
    soak soakRun(context, options, *site);
    asio::co_spawn(context, soakRun.run(), [&context](const std::exception_ptr &) { context.stop(); });
    context.run();
    if (!site->unreadyReason().empty()) {
        out << site->unreadyReason() << '\n';
    }
    const soak_audit &audit = soakRun.audit();
    out << "seed " << options.seed << ": " << audit.requests() << " requests,";
    for (const auto &[status, count] : audit.byStatus()) {
        out << ' ' << status << ": " << count;
    }
    std::size_t memoryBytes = 0;
    for (std::size_t entry = 0; entry < site->entryCount(); ++entry) {
        memoryBytes += site->entry(entry).peakMemoryBytes();
    }
    constexpr std::size_t kMiB = std::size_t{1024} * 1024;
    out << ", peak memory of the entries: " << memoryBytes / kMiB << " MiB, steady lookups: " << audit.steadyLookups() << ", orders: " << soakRun.orders()
        << ", violations: " << audit.violations().size() << std::endl;
    for (const std::string &violation : audit.violations()) {
        out << "  " << violation << '\n';
    }
    if (!audit.violations().empty() && !options.logFolder.empty()) {
        std::filesystem::create_directories(options.logFolder);
        for (std::size_t entry = 0; entry < site->entryCount(); ++entry) {
            std::ofstream(options.logFolder + "/seed-" + std::to_string(options.seed) + "-entry-" + std::to_string(entry) + ".log") << site->logOf(entry);
        }
    }
    return audit.violations().empty();
}

} // namespace

int runSoak(const std::vector<std::string> &arguments, std::ostream &out)
{
    cxxopts::Options options("heatherbench soak", "Runs entry processes under random faults and checks the guarantees to callers; exit code 1 on a violation.");
    options.add_options()("h,help", "print this text")("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "duration of fault injection for each seed, in seconds", cxxopts::value<int>()->default_value("20"))(
        "entries", "number of entry processes", cxxopts::value<std::size_t>()->default_value("6"))(
        "engines", "number of model engines", cxxopts::value<std::size_t>()->default_value("6"))(
        "services", "number of upstreams of the plain service", cxxopts::value<std::size_t>()->default_value("3"))(
        "logs", "folder for the entries' logs of runs with violations", cxxopts::value<std::string>()->default_value(""))(
        "callers", "number of concurrent callers", cxxopts::value<std::size_t>()->default_value("24"))("no-times", "don't check the duration of responses")(
        "program", "path of heatherrouted", cxxopts::value<std::string>()->default_value("build/heatherrouted"));
    const cxxopts::ParseResult parsed = parseArguments(options, arguments);
    if (parsed.count("help") > 0) {
        out << options.help();
        return 0;
    }
    soak_options soakOptions;
    soakOptions.duration = seconds(parsed["seconds"].as<int>());
    soakOptions.checkDurations = parsed.count("no-times") == 0;
    soakOptions.callers = parsed["callers"].as<std::size_t>();
    soakOptions.logFolder = parsed["logs"].as<std::string>();
    soakOptions.site.program = std::filesystem::absolute(parsed["program"].as<std::string>()).string();
    soakOptions.site.entries = parsed["entries"].as<std::size_t>();
    soakOptions.site.services = parsed["services"].as<std::size_t>();
    const std::size_t engines = parsed["engines"].as<std::size_t>();
    soakOptions.site.storeEra = 1;
    const std::uint64_t first = parsed["seed"].as<std::uint64_t>();
    std::uint64_t failedSeeds = 0;
    for (soakOptions.seed = first; soakOptions.seed < first + parsed["seeds"].as<std::uint64_t>(); ++soakOptions.seed) {
        // With every other seed the pools don't fit the load, so that the lease holder gives orders.
        soakOptions.site.decodeEngines = std::max<std::size_t>(1, soakOptions.seed % 2 == 0 ? engines * 2 / 3 : engines / 6);
        soakOptions.site.prefillEngines = engines - soakOptions.site.decodeEngines;
        soakOptions.site.decodeVersions = {"v1", "v1.1"};
        soakOptions.site.hasOwnLinks = cutsLinks(soakOptions.seed);
        soakOptions.site.hasResumableStreams = losesPower(soakOptions.seed);
        // Streams last longer than the time between two records of their origins.
        soakOptions.site.eventInterval = losesPower(soakOptions.seed) ? milliseconds(200) : milliseconds(10);
        failedSeeds += runSeed(soakOptions, out) ? 0 : 1;
    }
    out << "soak: " << parsed["seeds"].as<std::uint64_t>() << " seeds, " << failedSeeds << " with violations\n";
    return failedSeeds == 0 ? 0 : 1;
}

} // namespace heatherroute::bench
