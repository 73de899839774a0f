#include "heatherbench_commands.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <filesystem>
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

constexpr milliseconds kTimeLeft{2'000}; ///< Of a caller's request.
constexpr milliseconds kBetweenRequests{15}; ///< Of one caller.
constexpr milliseconds kLongestBetweenFaults{350};
constexpr milliseconds kLongestFault{2'500};
constexpr milliseconds kLongestPause{1'500}; ///< Of a process.
constexpr milliseconds kDrainSlack{4'000}; ///< Drain bound, and as much again for a process that was paused.
constexpr seconds kRecoveryLimit{30};
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;

/// Options of one soak.
struct soak_options
{
    std::uint64_t seed = 1;
    seconds time{20};
    std::size_t callers = 24;
    bool checkTimes = true; ///< Whether an answer that takes too long breaks a promise; not on a machine with other load.
    relay_site_settings site;
};

/**
 * One soak: callers send requests to real entries while faults are injected from outside, in series and overlapping.
 *
 * The seed decides which faults come when; what callers meet also depends on the machine, and only promises are checked.
 * Not thread safe.
 */
class soak
{
public:
    soak(asio::io_context &context, const soak_options &options, relay_site &site)
        : m_context(context)
        , m_options(options)
        , m_site(site)
        , m_random(options.seed)
        , m_disturbances(site.entryCount(), 0)
    { }

    asio::awaitable<void> run()
    {
        // The site has published its first configuration, with lookups.
        m_audit.notePublished({}, true);
        const bool ready = co_await m_site.waitUntilReady(kRecoveryLimit);
        if (!ready) {
            m_audit.noteNotRecovered(0);
            co_return;
        }
        for (std::size_t caller = 0; caller < m_options.callers; ++caller) {
            asio::co_spawn(m_context, callAgainAndAgain(m_options.seed + caller), asio::detached);
        }
        const auto start = std::chrono::steady_clock::now();
        const auto until = start + m_options.time;
        bool drained = false;
        while (std::chrono::steady_clock::now() < until) {
            co_await pause(milliseconds(draw(kLongestBetweenFaults.count())));
            if (!drained && std::chrono::steady_clock::now() > start + m_options.time / 3) {
                drained = true;
                m_site.upstreams().back()->drain();
            }
            asio::co_spawn(m_context, injectFault(), asio::detached);
        }
        m_stopping = true;
        while (m_open > 0) {
            co_await pause(milliseconds(20));
        }
        co_await checkRecovery();
        m_audit.conclude([this](const std::string &id) { return m_site.runsOf(id); });
        for (const auto &upstream : m_site.upstreams()) {
            m_audit.noteRunsAfterDrain(upstream->id(), upstream->runsAfterDrain(kDrainSlack));
        }
    }

    const soak_audit &audit() const noexcept
    {
        return m_audit;
    }

private:
    std::int64_t draw(std::int64_t below)
    {
        return std::uniform_int_distribution<std::int64_t>(0, below - 1)(m_random);
    }

    asio::awaitable<void> pause(milliseconds time)
    {
        asio::steady_timer timer(m_context, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<void> callAgainAndAgain(std::uint64_t seed)
    {
        ++m_open;
        std::mt19937_64 random(seed);
        const char *const paths[] = {kLookupPath, kBookingPath, kStreamPath};
        while (!m_stopping) {
            const std::size_t entry = random() % m_site.entryCount();
            std::string path = paths[random() % std::size(paths)];
            const std::uint64_t before = m_disturbances[entry];
            const std::string life = lifeOf(entry);
            const auto sent = std::chrono::steady_clock::now();
            const caller_result result = co_await m_site.call(entry, std::move(path), kTimeLeft);
            if (result.path == kLookupPath && (result.status == kOk || result.status == kNotFound) && life == lifeOf(entry)) {
                m_audit.noteLookup(life, sent, std::chrono::steady_clock::now(), result.status == kOk);
            }
            m_audit.noteEnd(result, !m_options.checkTimes || m_busy.count(entry) > 0 || m_disturbances[entry] != before);
            co_await pause(kBetweenRequests);
        }
        --m_open;
    }

    asio::awaitable<void> injectFault()
    {
        ++m_open;
        const milliseconds time(draw(kLongestFault.count()));
        const auto entry = static_cast<std::size_t>(draw(static_cast<std::int64_t>(m_site.entryCount())));
        switch (draw(7)) {
        case 0:
            co_await harmStore(time);
            break;
        case 1:
        case 2:
            co_await harmStorePath(entry, time);
            break;
        case 3:
        case 4:
            co_await harmUpstream(time);
            break;
        case 5:
            publish(draw(3) > 0);
            break;
        default:
            co_await harmProcess(entry);
        }
        --m_open;
    }

    void publish(bool lookups)
    {
        m_audit.notePublished(std::chrono::steady_clock::now(), lookups);
        m_site.publish(lookups);
    }

    std::string lifeOf(std::size_t entry)
    {
        return "entry " + std::to_string(entry) + ", process " + std::to_string(m_site.entry(entry).pid());
    }

    asio::awaitable<void> harmStore(milliseconds time)
    {
        standins::store_faults faults;
        faults.busy = draw(3) == 0;
        faults.silent = !faults.busy && draw(2) == 0;
        faults.delay = milliseconds(draw(300));
        if (draw(4) == 0) {
            m_site.store().forgetHistory("keyed.op");
            m_site.store().forgetHistory("keyed.servers");
        }
        m_site.store().setFaults(faults);
        co_await pause(time);
        m_site.store().setFaults({});
    }

    asio::awaitable<void> harmStorePath(std::size_t entry, milliseconds time)
    {
        fault_proxy &proxy = m_site.storeProxy(entry);
        const auto fault = static_cast<proxy_fault>(1 + draw(static_cast<std::int64_t>(proxy_fault::Silence)));
        proxy.setFault(fault);
        proxy.setDelay(milliseconds(draw(100)));
        co_await pause(time);
        // Connections whose bytes were dropped can't go on in order.
        proxy.resetAll();
        proxy.setFault(proxy_fault::None);
        proxy.setDelay(milliseconds(0));
    }

    asio::awaitable<void> harmUpstream(milliseconds time)
    {
        standins::site_upstream &upstream = *m_site.upstreams()[static_cast<std::size_t>(draw(static_cast<std::int64_t>(m_site.upstreams().size())))];
        standins::upstream_faults faults;
        switch (draw(6)) {
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
            faults.foreignAnswers = true;
            break;
        default:
            faults.breakStreams = true;
        }
        upstream.setFaults(faults);
        co_await pause(time);
        upstream.setFaults({});
    }

    /// Kills, pauses or stops one entry; one that ends is started again.
    asio::awaitable<void> harmProcess(std::size_t entry)
    {
        if (!m_busy.insert(entry).second) {
            co_return;
        }
        ++m_disturbances[entry];
        const std::int64_t kind = draw(4);
        if (kind == 0) {
            m_site.entry(entry).signal(SIGSTOP);
            co_await pause(milliseconds(draw(kLongestPause.count())));
            m_site.entry(entry).signal(SIGCONT);
        } else if (kind == 1) {
            m_site.entry(entry).signal(SIGHUP);
        } else {
            m_site.entry(entry).signal(kind == 2 ? SIGKILL : SIGTERM);
            while (!m_site.entry(entry).waitForEnd(milliseconds(0))) {
                co_await pause(milliseconds(20));
            }
            last_reason reason;
            if (!m_site.restart(entry, &reason)) {
                m_audit.noteNotRecovered(entry);
            }
        }
        ++m_disturbances[entry];
        m_busy.erase(entry);
    }

    asio::awaitable<void> checkRecovery()
    {
        publish(true);
        for (std::size_t entry = 0; entry < m_site.entryCount(); ++entry) {
            const auto until = std::chrono::steady_clock::now() + kRecoveryLimit;
            bool serves = false;
            while (!serves && std::chrono::steady_clock::now() < until) {
                const caller_result result = co_await m_site.call(entry, kLookupPath, kTimeLeft);
                serves = result.status == 200;
                co_await pause(milliseconds(50));
            }
            if (!serves) {
                m_audit.noteNotRecovered(entry);
            }
        }
    }

    asio::io_context &m_context;
    const soak_options &m_options;
    relay_site &m_site;
    std::mt19937_64 m_random;
    soak_audit m_audit;
    std::vector<std::uint64_t> m_disturbances; ///< Of each entry, counted at their begin and end.
    std::set<std::size_t> m_busy; ///< Entries that are being harmed as processes.
    std::size_t m_open = 0;
    bool m_stopping = false;
};

/// Runs one seed; true when no promise was broken.
bool runSeed(const soak_options &options, std::ostream &out)
{
    asio::io_context context(1);
    last_reason reason;
    const auto site = relay_site::make(context, options.site, &reason);
    if (!site) {
        out << "soak: " << reason.text() << '\n';
        return false;
    }
    soak one(context, options, *site);
    asio::co_spawn(context, one.run(), [&context](const std::exception_ptr &) { context.stop(); });
    context.run();
    if (!site->unready().empty()) {
        out << site->unready() << '\n';
    }
    const soak_audit &audit = one.audit();
    out << "seed " << options.seed << ": " << audit.requests() << " requests,";
    for (const auto &[status, count] : audit.byStatus()) {
        out << ' ' << status << ": " << count;
    }
    out << ", violations: " << audit.violations().size() << std::endl;
    for (const std::string &violation : audit.violations()) {
        out << "  " << violation << '\n';
    }
    return audit.violations().empty();
}

} // namespace

int runSoak(const std::vector<std::string> &arguments, std::ostream &out)
{
    cxxopts::Options options("heatherbench soak", "Runs entries as processes under random faults and checks the promises; exit code 1 when one is broken.");
    options.add_options()("seed", "the first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "how many seeds", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "how long faults are injected, each seed", cxxopts::value<int>()->default_value("20"))(
        "entries", "processes", cxxopts::value<std::size_t>()->default_value("6"))(
        "callers", "callers at once", cxxopts::value<std::size_t>()->default_value("24"))("no-times", "don't check how long answers take")(
        "program", "heatherrouted", cxxopts::value<std::string>()->default_value("build/heatherrouted"));
    const cxxopts::ParseResult parsed = parseArguments(options, arguments);
    soak_options one;
    one.time = seconds(parsed["seconds"].as<int>());
    one.checkTimes = parsed.count("no-times") == 0;
    one.callers = parsed["callers"].as<std::size_t>();
    one.site.program = std::filesystem::absolute(parsed["program"].as<std::string>()).string();
    one.site.entries = parsed["entries"].as<std::size_t>();
    one.site.decodeEngines = 4;
    one.site.prefillEngines = 2;
    one.site.services = 3;
    const std::uint64_t first = parsed["seed"].as<std::uint64_t>();
    std::uint64_t broken = 0;
    for (one.seed = first; one.seed < first + parsed["seeds"].as<std::uint64_t>(); ++one.seed) {
        broken += runSeed(one, out) ? 0 : 1;
    }
    out << "soak: " << parsed["seeds"].as<std::uint64_t>() << " seeds, " << broken << " with a broken promise\n";
    return broken == 0 ? 0 : 1;
}

} // namespace heatherroute::bench
