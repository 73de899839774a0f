#include "node/crash_monitor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "heatherroute/request_fingerprint.h"
#include "net/port_check.h"
#include "node/core_time.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t kMaxIntroducedReports = 256;
/// Allows for several round trips between availability zones.
constexpr std::chrono::milliseconds kCheckTimeout{150};

upstream_instance instanceOf(const registration &run)
{
    return {run.id, run.startedAt};
}

} // namespace

crash_monitor::crash_monitor(asio::any_io_executor executor, crash_monitor_hooks hooks)
    : m_executor(std::move(executor))
    , m_hooks(std::move(hooks))
    , m_quarantine(request_quarantine::make({}))
    , m_gossip(crash_gossip::make({}))
{ }

void crash_monitor::noteAttempt(const registration &run, std::uint64_t fingerprint, const net::http_result &result)
{
    if (result.answer || result.failure.outcome == verdict::NotRun) {
        return;
    }
    const upstream_instance instance = instanceOf(run);
    if (const auto report = m_quarantine.noteInterrupted(coreNow(), instance, fingerprint)) {
        publish({*report});
    } else if (!result.timedOut) {
        if (m_checking.insert(instance).second) {
            asio::co_spawn(m_executor, checkDetached(run), asio::detached);
        } else {
            m_interruptedMeanwhile.insert(instance);
        }
    }
}

void crash_monitor::noteRefused(const registration &run)
{
    publish(m_quarantine.noteCrashed(coreNow(), instanceOf(run)));
}

void crash_monitor::noteCompleted(std::uint64_t fingerprint)
{
    const bool mayBeRecorded = m_quarantine.mayBeRecorded(fingerprint);
    if (const auto report = m_quarantine.noteCompleted(coreNow(), fingerprint)) {
        m_gossip.add(coreNow(), *report);
        if (mayBeRecorded) {
            m_hooks.record(fingerprint, {});
        }
    }
}

void crash_monitor::onUpstreamChange(const registration &run, upstream_change change)
{
    if (change == upstream_change::Restarted) {
        publish(m_quarantine.noteRestarted(coreNow(), instanceOf(run)));
    } else if (change == upstream_change::Displaced || (change == upstream_change::Removed && !run.draining)) {
        publish(m_quarantine.noteCrashed(coreNow(), instanceOf(run)));
    }
}

void crash_monitor::onReports(const crash_reports &message)
{
    for (const crash_report &report : message.reports) {
        m_quarantine.onReport(coreNow(), report);
    }
    announceChanges();
}

void crash_monitor::recordAgain()
{
    m_quarantine.forgetRecords();
    announceChanges();
}

std::vector<crash_reports> crash_monitor::dueMessages()
{
    return m_gossip.dueMessages(coreNow());
}

std::vector<crash_reports> crash_monitor::introduction() const
{
    return makeMessages(m_quarantine.suspectReports(coreNow(), kMaxIntroducedReports));
}

duration crash_monitor::quarantinedFor(std::uint64_t fingerprint)
{
    return m_quarantine.quarantinedFor(coreNow(), fingerprint);
}

asio::awaitable<void> crash_monitor::checkBeforeRetry(registration run, std::uint64_t fingerprint)
{
    if (m_quarantine.crashesOf(fingerprint) > 0) {
        co_await check(std::move(run));
    }
}

asio::awaitable<void> crash_monitor::checkDetached(registration run)
{
    const upstream_instance instance = instanceOf(run);
    do {
        m_interruptedMeanwhile.erase(instance);
        co_await check(run);
    } while (m_interruptedMeanwhile.contains(instance));
    m_checking.erase(instance);
}

asio::awaitable<void> crash_monitor::check(registration run)
{
    const auto endpoint = net::parseEndpoint(run.address);
    if (!endpoint) {
        co_return;
    }
    const instant startedAt = coreNow();
    const net::port_state state = co_await net::checkPort(*endpoint, kCheckTimeout);
    if (state == net::port_state::Open) {
        m_quarantine.noteAlive(startedAt, instanceOf(run));
    } else if (state == net::port_state::Refused) {
        noteRefused(run);
    }
    m_hooks.log(log_level::Info, "interrupting_upstream_checked", {upstreamField(run.id), {"port", toString(state)}});
}

void crash_monitor::publish(const std::vector<crash_report> &reports)
{
    for (const crash_report &report : reports) {
        m_gossip.add(coreNow(), report);
        m_hooks.log(log_level::Warning,
                    "upstream_crashed_under_request",
                    {{"fingerprint", fingerprintText(report.fingerprint)},
                     upstreamField(report.instance.id),
                     {"instance_started_at", std::to_string(report.instance.startedAt)},
                     {"crashes", std::to_string(m_quarantine.crashesOf(report.fingerprint))}});
    }
    announceChanges();
}

void crash_monitor::announceChanges()
{
    for (const started_quarantine &started : m_quarantine.takeStarted()) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(quarantinedFor(started.fingerprint));
        m_hooks.log(log_level::Warning,
                    "request_quarantined",
                    {{"fingerprint", fingerprintText(started.fingerprint)},
                     {"crashes", std::to_string(m_quarantine.crashesOf(started.fingerprint))},
                     {"observed_here", started.observedHere ? "true" : "false"},
                     {"for_ms", std::to_string(left.count())}});
    }
    for (const std::uint64_t fingerprint : m_quarantine.takeToRecord()) {
        m_hooks.record(fingerprint, m_quarantine.reportsOn(coreNow(), fingerprint));
    }
}

} // namespace heatherroute::node
