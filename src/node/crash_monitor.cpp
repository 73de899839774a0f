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

constexpr std::size_t kMaxRecordedReports = 512;
/// Between two records of this entry, since many requests may be interrupted and answered one after the other.
constexpr std::chrono::seconds kRecordInterval{1};
/// Allows for several round trips between availability zones.
constexpr std::chrono::milliseconds kCheckTimeout{150};
/// How long an upstream may send nothing for an attempt before it is checked.
constexpr std::chrono::milliseconds kStallTime{400};
/// Between two checks of an upstream that sends nothing, since each opens a connection.
constexpr std::chrono::seconds kSilenceCheckInterval{2};

upstream_instance instanceOf(const registration &run)
{
    return {run.id, run.startedAt};
}

} // namespace

crash_monitor::crash_monitor(asio::any_io_executor executor, crash_monitor_hooks hooks)
    : m_executor(std::move(executor))
    , m_hooks(std::move(hooks))
    , m_crashes(crash_tracker::make())
{ }

std::uint64_t crash_monitor::beginAttempt(const registration &run, const request_fingerprints &request)
{
    const instant now = coreNow();
    m_attempts.emplace(++m_lastAttempt, running_attempt{run, request, now, now, {}});
    m_crashes.noteStarted(now, instanceOf(run), request);
    return m_lastAttempt;
}

void crash_monitor::noteProgress(std::uint64_t attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    running_attempt &running = found->second;
    running.lastProgress = coreNow();
    if (running.answer.notePiece(running.lastProgress)) {
        m_crashes.noteWriting(running.lastProgress, running.request);
    }
}

void crash_monitor::endAttempt(std::uint64_t attempt, const net::http_result &result, bool endedHere)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const running_attempt ended = found->second;
    m_attempts.erase(found);
    const upstream_instance instance = instanceOf(ended.run);
    if (result.answer || result.failure.outcome == verdict::NotRun) {
        m_crashes.noteAnswered(instance, ended.request);
        return;
    }
    if (endedHere) {
        return;
    }
    const instant now = coreNow();
    const std::vector<crash_report> reports = m_crashes.noteInterrupted(now, instance, ended.request, now - ended.sentAt);
    if (!reports.empty()) {
        log(reports);
    } else if (result.timedOut) {
        checkIfDue(ended.run);
    } else if (m_checking.insert(instance).second) {
        asio::co_spawn(m_executor, checkDetached(ended.run), asio::detached);
    } else {
        m_interruptedMeanwhile.insert(instance);
    }
}

void crash_monitor::advance()
{
    const instant now = coreNow();
    std::erase_if(m_silenceChecks, [now](const auto &check) { return now - check.second > kSilenceCheckInterval; });
    for (const auto &[number, attempt] : m_attempts) {
        if (now - attempt.lastProgress >= kStallTime) {
            checkIfDue(attempt.run);
        }
    }
    for (const upstream_instance &instance : m_crashes.silentInstances()) {
        if (m_hooks.isGone(instance)) {
            interruptStalled(instance);
            log(m_crashes.noteCrashed(now, instance));
        }
    }
    recordObservations();
}

void crash_monitor::recordObservations()
{
    const instant now = coreNow();
    if (now - m_recordedAt < kRecordInterval) {
        return;
    }
    crash_evidence evidence = m_crashes.observations(now, kMaxRecordedReports);
    if (std::set<observation_key> keys = keysOf(evidence); keys != m_recorded) {
        m_recorded = std::move(keys);
        m_recordedAt = now;
        m_hooks.record(std::move(evidence));
    }
}

void crash_monitor::checkIfDue(const registration &run)
{
    const upstream_instance instance = instanceOf(run);
    if (!m_checking.contains(instance) && m_silenceChecks.emplace(instance, coreNow()).second) {
        m_checking.insert(instance);
        asio::co_spawn(m_executor, checkDetached(run), asio::detached);
    }
}

void crash_monitor::interruptStalled(const upstream_instance &instance)
{
    const instant now = coreNow();
    for (const auto &[number, attempt] : m_attempts) {
        if (instanceOf(attempt.run) == instance && now - attempt.lastProgress >= kStallTime) {
            log(m_crashes.noteInterrupted(now, instance, attempt.request, now - attempt.sentAt));
        }
    }
}

void crash_monitor::noteRefused(const registration &run)
{
    log(m_crashes.noteCrashed(coreNow(), instanceOf(run)));
}

void crash_monitor::noteCompleted(const request_fingerprints &request)
{
    const std::uint32_t before = m_crashes.crashesOf(request.fingerprint);
    m_crashes.noteCompleted(coreNow(), request);
    if (before > 0) {
        m_hooks.log(
            log_level::Info, "request_cleared_of_crashes", {{"fingerprint", fingerprintText(request.fingerprint)}, {"crashes", std::to_string(before)}});
    }
}

void crash_monitor::onUpstreamChange(const registration &run, upstream_change change)
{
    if (change == upstream_change::Restarted) {
        log(m_crashes.noteRestarted(coreNow(), instanceOf(run)));
    } else if (change == upstream_change::Displaced || (change == upstream_change::Removed && !run.draining)) {
        log(m_crashes.noteCrashed(coreNow(), instanceOf(run)));
    }
}

void crash_monitor::onMessage(const crash_message &message)
{
    m_crashes.onMessage(coreNow(), message);
    announceChanges();
}

void crash_monitor::onRecord(const crash_evidence &evidence, bool isOwn)
{
    m_crashes.onRecord(coreNow(), evidence, isOwn);
    announceChanges();
}

void crash_monitor::recordAgain()
{
    m_recorded.clear();
}

std::vector<crash_message> crash_monitor::dueMessages()
{
    return m_crashes.dueMessages(coreNow());
}

std::vector<crash_message> crash_monitor::introduction() const
{
    return m_crashes.introduction(coreNow());
}

void crash_monitor::setRank(std::size_t rank) noexcept
{
    m_crashes.setRank(rank);
}

quarantine_admission crash_monitor::admit(const request_fingerprints &request)
{
    return m_crashes.admit(coreNow(), request);
}

duration crash_monitor::quarantinedFor(const request_fingerprints &request, bool isTrial)
{
    return m_crashes.quarantinedFor(coreNow(), request, isTrial);
}

asio::awaitable<void> crash_monitor::checkBeforeRetry(registration run, std::uint64_t fingerprint)
{
    if (m_crashes.crashesOf(fingerprint) > 0) {
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
        m_crashes.noteAlive(startedAt, instanceOf(run));
    } else {
        interruptStalled(instanceOf(run));
        if (state == net::port_state::Refused) {
            noteRefused(run);
        } else {
            m_crashes.noteSilent(coreNow(), instanceOf(run));
        }
    }
    m_hooks.log(log_level::Info, "interrupting_upstream_checked", {upstreamField(run.id), {"port", toString(state)}});
}

void crash_monitor::log(const std::vector<crash_report> &reports)
{
    for (const crash_report &report : reports) {
        m_hooks.log(log_level::Warning,
                    "upstream_crashed_under_request",
                    {{"fingerprint", fingerprintText(report.fingerprint)},
                     {"prompt_parts", fingerprintsText(report.parts)},
                     upstreamField(report.instance.id),
                     {"instance_started_at", std::to_string(report.instance.startedAt)},
                     {"ran_ms", std::to_string(report.ranMs)},
                     {"crashes", std::to_string(m_crashes.crashesOf(report.fingerprint))}});
    }
    announceChanges();
}

void crash_monitor::announceChanges()
{
    const auto milliseconds = [](duration time) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()); };
    for (const started_quarantine &started : m_crashes.takeStarted(coreNow())) {
        m_hooks.log(log_level::Warning,
                    "request_quarantined",
                    {{"fingerprint", fingerprintText(started.fingerprint)},
                     {"crashes", std::to_string(m_crashes.crashesOf(started.fingerprint))},
                     {"observed_here", started.observedHere ? "true" : "false"},
                     {"admits_trials", started.admitsTrials ? "true" : "false"},
                     {"for_ms", milliseconds(quarantinedFor({started.fingerprint, {}}))}});
    }
    for (const started_part_quarantine &started : m_crashes.takeStartedParts(coreNow())) {
        m_hooks.log(log_level::Warning,
                    "prompt_part_quarantined",
                    {{"prompt_part", fingerprintText(started.part)},
                     {"crashes", std::to_string(started.crashes)},
                     {"only_before_others", started.onlyInside ? "true" : "false"},
                     {"for_ms", milliseconds(started.until - coreNow())}});
    }
}

} // namespace heatherroute::node
