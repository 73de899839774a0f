#include "heatherroute/crash_tracker.h"

#include <algorithm>
#include <iterator>

namespace heatherroute
{

namespace
{

constexpr std::size_t kMaxIntroducedReports = 256;
constexpr std::size_t kMaxIntroducedParts = 256;
constexpr std::size_t kMaxIntroducedClearances = 64;
/// Between the first trials of two entries: a stream takes some seconds until its answer is complete.
constexpr duration kTrialStagger = std::chrono::seconds(10);
/// The same for trials of whole requests, whose beginning the other entries are told.
constexpr duration kRequestTrialStagger = std::chrono::seconds(1);
constexpr std::size_t kMaxTrialRank = 12; ///< Entries of a higher rank try together.
constexpr duration kPresumptionInterval = std::chrono::milliseconds(500); ///< Between two judgements by presumed crashes.

template<typename Message>
void append(std::vector<crash_message> &to, std::vector<Message> messages)
{
    to.insert(to.end(), std::make_move_iterator(messages.begin()), std::make_move_iterator(messages.end()));
}

} // namespace

crash_tracker crash_tracker::make()
{
    return {};
}

crash_tracker::crash_tracker()
    : m_requests(request_quarantine::make({}))
    , m_parts(part_quarantine::make({}))
    , m_gossip(crash_gossip::make({}))
{ }

std::vector<crash_report> crash_tracker::noteInterrupted(instant now, const upstream_instance &instance, const request_fingerprints &request, duration ran)
{
    const auto report = m_requests.noteInterrupted(now, instance, request, ran);
    if (!report) {
        return {};
    }
    queue(now, {*report});
    return {*report};
}

void crash_tracker::noteSilent(instant now, const upstream_instance &instance)
{
    for (const open_attempt &report : m_requests.noteSilent(now, instance)) {
        tellCompleted(now, m_parts.takeUntold(now, report.parts));
        m_gossip.add(now, report);
        m_isJudged = false;
    }
}

void crash_tracker::noteStarted(instant now, const upstream_instance &instance, const request_fingerprints &request)
{
    if (const auto report = m_requests.noteStarted(now, instance, request)) {
        m_gossip.add(now, *report);
    }
}

void crash_tracker::noteAnswered(const upstream_instance &instance, const request_fingerprints &request)
{
    m_requests.noteAnswered(instance, request.fingerprint);
}

std::vector<crash_report> crash_tracker::noteCrashed(instant now, const upstream_instance &instance)
{
    std::vector<crash_report> reports = m_requests.noteCrashed(now, instance);
    queue(now, reports);
    return reports;
}

std::vector<crash_report> crash_tracker::noteRestarted(instant now, const upstream_instance &started)
{
    std::vector<crash_report> reports = m_requests.noteRestarted(now, started);
    queue(now, reports);
    return reports;
}

void crash_tracker::noteAlive(instant aliveAt, const upstream_instance &instance)
{
    m_requests.noteAlive(aliveAt, instance);
}

std::vector<upstream_instance> crash_tracker::silentInstances() const
{
    return m_requests.silentInstances();
}

std::uint32_t crash_tracker::crashesOf(std::uint64_t fingerprint) const
{
    return m_requests.crashesOf(fingerprint);
}

void crash_tracker::noteCompleted(instant now, const request_fingerprints &request)
{
    judge(now);
    if (const auto report = m_requests.noteCompleted(now, request.fingerprint)) {
        m_gossip.add(now, *report);
        m_isJudged = false;
    }
    noteWriting(now, request);
}

void crash_tracker::noteWriting(instant now, const request_fingerprints &request)
{
    judge(now);
    if (const auto told = m_parts.noteCompleted(now, request.parts); !told.empty()) {
        tellCompleted(now, told);
        m_isJudged = false;
    }
}

void crash_tracker::onMessage(instant now, const crash_message &message)
{
    m_isJudged = false;
    if (const auto *crashes = std::get_if<crash_reports>(&message)) {
        for (const crash_report &report : crashes->reports) {
            m_requests.onReport(now, report);
        }
    } else if (const auto *partCrashes = std::get_if<part_crash_reports>(&message)) {
        for (const crash_report &report : partCrashes->reports) {
            m_requests.onReport(now, report);
            tellCompleted(now, m_parts.takeUntold(now, report.parts));
        }
    } else if (const auto *open = std::get_if<open_attempts>(&message)) {
        for (const open_attempt &report : open->reports) {
            m_requests.onOpenAttempt(now, report);
            tellCompleted(now, m_parts.takeUntold(now, report.parts));
        }
    } else {
        for (const completed_part &report : std::get<completed_parts>(message).reports) {
            m_parts.onCompleted(now, report);
        }
    }
}

crash_evidence crash_tracker::observations(instant now, std::size_t limit) const
{
    // After a restart nobody may know which parts were answered completely, so that their crashes would count.
    const auto isSound = [this](std::uint64_t part) { return m_parts.isSound(part); };
    crash_evidence observed = m_requests.observations(now, limit);
    for (crash_report &report : observed.crashes) {
        std::erase_if(report.parts, isSound);
    }
    for (open_attempt &open : observed.open) {
        std::erase_if(open.parts, isSound);
    }
    return observed;
}

void crash_tracker::onRecord(instant now, const crash_evidence &evidence, bool isOwn)
{
    m_isJudged = false;
    if (isOwn) {
        m_requests.restore(now, evidence);
        return;
    }
    for (const crash_report &report : evidence.crashes) {
        m_requests.onReport(now, report);
    }
    for (const open_attempt &open : evidence.open) {
        m_requests.onOpenAttempt(now, open);
    }
    for (const crash_report &report : evidence.cleared) {
        m_requests.onReport(now, report);
    }
}

void crash_tracker::setRank(std::size_t rank) noexcept
{
    m_parts.setTrialDelay(kTrialStagger * std::min(rank, kMaxTrialRank));
    m_requests.setTrialDelay(kRequestTrialStagger * std::min(rank, kMaxTrialRank));
}

quarantine_admission crash_tracker::admit(instant now, const request_fingerprints &request)
{
    judge(now);
    if (const duration refusedFor = m_parts.admit(now, request.parts); refusedFor > duration::zero()) {
        return {refusedFor, false};
    }
    return m_requests.admit(now, request.fingerprint);
}

duration crash_tracker::quarantinedFor(instant now, const request_fingerprints &request, bool isTrial)
{
    judge(now);
    return std::max(m_parts.quarantinedFor(now, request.parts), m_requests.quarantinedFor(now, request.fingerprint, isTrial));
}

std::vector<started_quarantine> crash_tracker::takeStarted(instant now)
{
    judge(now);
    return m_requests.takeStarted();
}

std::vector<started_part_quarantine> crash_tracker::takeStartedParts(instant now)
{
    judge(now);
    return m_parts.takeStarted();
}

std::vector<crash_message> crash_tracker::dueMessages(instant now)
{
    return m_gossip.dueMessages(now);
}

std::vector<crash_message> crash_tracker::introduction(instant now) const
{
    std::vector<crash_message> messages;
    append(messages, makeMessages(m_parts.completedReports(now, kMaxIntroducedParts)));
    append(messages, makeMessages(m_requests.clearedReports(now, kMaxIntroducedClearances)));
    append(messages, makeCrashMessages(m_requests.suspectReports(now, kMaxIntroducedReports)));
    append(messages, makeMessages(m_requests.openAttempts(now)));
    return messages;
}

void crash_tracker::queue(instant now, const std::vector<crash_report> &reports)
{
    for (const crash_report &report : reports) {
        tellCompleted(now, m_parts.takeUntold(now, report.parts));
        m_gossip.add(now, report);
        m_isJudged = false;
    }
}

void crash_tracker::tellCompleted(instant now, const std::vector<completed_part> &completed)
{
    for (const completed_part &report : completed) {
        m_gossip.add(now, report);
    }
}

/// Parts are judged first, since a part may explain crashes in which the same request was in flight by chance.
void crash_tracker::judge(instant now)
{
    if (m_isJudged && (!m_presumes || now - m_judgedAt < kPresumptionInterval)) {
        return;
    }
    m_isJudged = true;
    m_judgedAt = now;
    const std::deque<known_crash> presumed = m_requests.presumedCrashes();
    m_presumes = !presumed.empty();
    m_parts.judge(now, m_requests.crashes(), presumed);
    m_requests.setExplainedByParts(m_parts.explainedCrashes());
}

} // namespace heatherroute
