#include "core/crash_handler.h"

#include <algorithm>

#include "heatherroute/request_fingerprint.h"

namespace heatherroute
{

namespace
{

/// Number of entries that tell a new one what it has missed; more than are expected to fail at once.
constexpr std::size_t kIntroducingEntries = 3;

upstream_instance instanceOf(const std::string &upstreamName)
{
    return {upstreamName, 0};
}

} // namespace

crash_handler::crash_handler(core_context &context)
    : m_context(context)
    , m_crashes(crash_tracker::make())
{ }

void crash_handler::onAttemptFailed(
    const std::string &upstreamName, const std::string &address, const request_fingerprints &request, instant sentAt, const attempt_failed &event)
{
    if (event.failure != attempt_failure::ConnectionLost || event.outcome == verdict::NotRun) {
        return;
    }
    const instant now = m_context.now();
    const std::vector<crash_report> reports = m_crashes.noteInterrupted(now, instanceOf(upstreamName), request, now - sentAt);
    if (!reports.empty()) {
        log(reports);
    } else if (m_checking.insert(upstreamName).second) {
        m_context.emit(check_upstream{upstreamName, address});
    }
}

void crash_handler::onChecked(const upstream_checked &event)
{
    m_checking.erase(event.upstreamName);
    if (event.state == process_state::Ended) {
        log(m_crashes.noteCrashed(m_context.now(), instanceOf(event.upstreamName)));
    } else if (event.state == process_state::Alive) {
        m_crashes.noteAlive(m_context.now(), instanceOf(event.upstreamName));
    }
}

bool crash_handler::isChecking(const std::string &upstreamName) const
{
    return m_checking.contains(upstreamName);
}

void crash_handler::onCompleted(const request_fingerprints &request)
{
    m_crashes.noteCompleted(m_context.now(), request);
}

void crash_handler::onWriting(const request_fingerprints &request)
{
    m_crashes.noteWriting(m_context.now(), request);
}

void crash_handler::onMessage(const peer_received &event)
{
    if (const auto message = messageIn<crash_message>(event.body)) {
        m_crashes.onMessage(m_context.now(), *message);
        logStarted();
    }
}

std::size_t crash_handler::rank() const
{
    const std::string &ownName = m_context.options().entryName;
    return static_cast<std::size_t>(
        std::count_if(m_addresses.begin(), m_addresses.end(), [&ownName](const auto &entry) { return entry.first.name < ownName; }));
}

void crash_handler::onMember(const member_change &change)
{
    if (change.now.state == member_state::Dead) {
        m_addresses.erase(change.now.id);
        m_crashes.setRank(rank());
        return;
    }
    const bool wasAlone = m_addresses.empty();
    const bool isNew = m_addresses.insert_or_assign(change.now.id, change.now.peerAddress).second;
    m_crashes.setRank(rank());
    if (isNew && (rank() < kIntroducingEntries || wasAlone)) {
        for (const crash_message &message : m_crashes.introduction(m_context.now())) {
            m_context.emit(send_to_peer{change.now.peerAddress, bodyOf(message), false});
        }
    }
}

void crash_handler::onTick()
{
    for (const crash_message &message : m_crashes.dueMessages(m_context.now())) {
        for (const auto &[id, address] : m_addresses) {
            m_context.emit(send_to_peer{address, bodyOf(message), false});
        }
    }
}

quarantine_admission crash_handler::admit(const request_fingerprints &request)
{
    return m_crashes.admit(m_context.now(), request);
}

duration crash_handler::quarantinedFor(const request_fingerprints &request)
{
    return m_crashes.quarantinedFor(m_context.now(), request);
}

void crash_handler::log(const std::vector<crash_report> &reports)
{
    for (const crash_report &report : reports) {
        m_context.log(log_level::Warning,
                      "upstream_crashed_under_request",
                      {{"fingerprint", fingerprintText(report.fingerprint)},
                       {"prompt_parts", fingerprintsText(report.parts)},
                       upstreamField(report.instance.id),
                       {"crashes", std::to_string(m_crashes.crashesOf(report.fingerprint))}});
    }
    logStarted();
}

void crash_handler::logStarted()
{
    const auto milliseconds = [](duration time) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()); };
    for (const started_quarantine &started : m_crashes.takeStarted(m_context.now())) {
        m_context.log(log_level::Warning,
                      "request_quarantined",
                      {{"fingerprint", fingerprintText(started.fingerprint)},
                       {"crashes", std::to_string(m_crashes.crashesOf(started.fingerprint))},
                       {"observed_here", started.observedHere ? "true" : "false"},
                       {"admits_trials", started.admitsTrials ? "true" : "false"},
                       {"for_ms", milliseconds(quarantinedFor({started.fingerprint, {}}))}});
    }
    for (const started_part_quarantine &started : m_crashes.takeStartedParts(m_context.now())) {
        m_context.log(log_level::Warning,
                      "prompt_part_quarantined",
                      {{"prompt_part", fingerprintText(started.part)},
                       {"crashes", std::to_string(started.crashes)},
                       {"only_before_others", started.onlyInside ? "true" : "false"},
                       {"for_ms", milliseconds(started.until - m_context.now())}});
    }
}

} // namespace heatherroute
