#include "core/crash_handler.h"

#include <algorithm>

#include "heatherroute/request_fingerprint.h"

namespace heatherroute
{

namespace
{

constexpr std::size_t kMaxIntroducedReports = 256;
/// Number of entries that tell a new one what it has missed; more than are expected to fail at once.
constexpr std::ptrdiff_t kIntroducingEntries = 3;

upstream_instance instanceOf(const std::string &upstreamName)
{
    return {upstreamName, 0};
}

} // namespace

crash_handler::crash_handler(core_context &context)
    : m_context(context)
    , m_quarantine(request_quarantine::make({}))
    , m_gossip(crash_gossip::make({}))
{ }

void crash_handler::onAttemptFailed(const std::string &upstreamName, const std::string &address, std::uint64_t fingerprint, const attempt_failed &event)
{
    if (event.failure != attempt_failure::ConnectionLost || event.outcome == verdict::NotRun) {
        return;
    }
    if (const auto report = m_quarantine.noteInterrupted(m_context.now(), instanceOf(upstreamName), fingerprint)) {
        publish({*report});
    } else if (m_checking.insert(upstreamName).second) {
        m_context.emit(check_upstream{upstreamName, address});
    }
}

void crash_handler::onChecked(const upstream_checked &event)
{
    m_checking.erase(event.upstreamName);
    if (event.state == process_state::Ended) {
        publish(m_quarantine.noteCrashed(m_context.now(), instanceOf(event.upstreamName)));
    } else if (event.state == process_state::Alive) {
        m_quarantine.noteAlive(m_context.now(), instanceOf(event.upstreamName));
    }
}

void crash_handler::onCompleted(std::uint64_t fingerprint)
{
    if (const auto report = m_quarantine.noteCompleted(m_context.now(), fingerprint)) {
        m_gossip.add(m_context.now(), *report);
    }
}

void crash_handler::onMessage(const peer_received &event)
{
    if (const auto *message = std::get_if<crash_reports>(&event.body)) {
        for (const crash_report &report : message->reports) {
            m_quarantine.onReport(m_context.now(), report);
        }
        logStarted();
    } else if (const auto *open = std::get_if<open_attempts>(&event.body)) {
        for (const open_attempt &report : open->reports) {
            m_quarantine.onOpenAttempt(m_context.now(), report);
        }
    }
}

void crash_handler::onMember(const member_change &change)
{
    if (change.now.state == member_state::Dead) {
        m_addresses.erase(change.now.id);
        return;
    }
    const bool wasAlone = m_addresses.empty();
    const bool isNew = m_addresses.insert_or_assign(change.now.id, change.now.peerAddress).second;
    const std::string &ownName = m_context.options().entryName;
    const auto rank = std::count_if(m_addresses.begin(), m_addresses.end(), [&ownName](const auto &entry) { return entry.first.name < ownName; });
    if (isNew && (rank < kIntroducingEntries || wasAlone)) {
        for (crash_reports &message : makeMessages(m_quarantine.suspectReports(m_context.now(), kMaxIntroducedReports))) {
            m_context.emit(send_to_peer{change.now.peerAddress, std::move(message), false});
        }
    }
}

void crash_handler::onTick()
{
    for (const crash_message &message : m_gossip.dueMessages(m_context.now())) {
        for (const auto &[id, address] : m_addresses) {
            m_context.emit(send_to_peer{address, std::visit([](const auto &body) { return peer_body(body); }, message), false});
        }
    }
}

duration crash_handler::quarantinedFor(std::uint64_t fingerprint)
{
    return m_quarantine.quarantinedFor(m_context.now(), fingerprint);
}

void crash_handler::publish(const std::vector<crash_report> &reports)
{
    for (const crash_report &report : reports) {
        m_gossip.add(m_context.now(), report);
        m_context.log(log_level::Warning,
                      "upstream_crashed_under_request",
                      {{"fingerprint", fingerprintText(report.fingerprint)},
                       upstreamField(report.instance.id),
                       {"crashes", std::to_string(m_quarantine.crashesOf(report.fingerprint))}});
    }
    logStarted();
}

void crash_handler::logStarted()
{
    for (const started_quarantine &started : m_quarantine.takeStarted()) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(quarantinedFor(started.fingerprint));
        m_context.log(log_level::Warning,
                      "request_quarantined",
                      {{"fingerprint", fingerprintText(started.fingerprint)},
                       {"crashes", std::to_string(m_quarantine.crashesOf(started.fingerprint))},
                       {"observed_here", started.observedHere ? "true" : "false"},
                       {"for_ms", std::to_string(left.count())}});
    }
}

} // namespace heatherroute
