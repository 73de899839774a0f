#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "heatherroute/crash_gossip.h"
#include "heatherroute/part_quarantine.h"
#include "heatherroute/request_fingerprint.h"
#include "heatherroute/request_quarantine.h"

namespace heatherroute
{

/**
 * What an entry and the others know of crashes, and which requests are kept from upstreams because of them.
 *
 * Joins request_quarantine and part_quarantine, which judge the same crashes, with the exchange between entries: all that this
 * entry observes is queued for the others. A crash that a quarantined part explains doesn't count against whole requests. Against
 * parts, silent upstreams count as crashed until they prove to be alive, since the end of their registrations comes late.
 *
 * Pure; not thread safe. Instants must not decrease.
 */
class crash_tracker
{
public:
    static crash_tracker make();

    /// Each of these is as in request_quarantine. Reports that they return are queued for the other entries already.
    std::vector<crash_report> noteInterrupted(instant now, const upstream_instance &instance, const request_fingerprints &request, duration ran);
    void noteSilent(instant now, const upstream_instance &instance);
    void noteStarted(instant now, const upstream_instance &instance, const request_fingerprints &request);
    void noteAnswered(const upstream_instance &instance, const request_fingerprints &request);
    std::vector<crash_report> noteCrashed(instant now, const upstream_instance &instance);
    std::vector<crash_report> noteRestarted(instant now, const upstream_instance &started);
    void noteAlive(instant aliveAt, const upstream_instance &instance);
    std::vector<upstream_instance> silentInstances() const;
    std::uint32_t crashesOf(std::uint64_t fingerprint) const;

    /// Records that an upstream answered the request with success.
    void noteCompleted(instant now, const request_fingerprints &request);
    /// Records that an upstream has been writing an answer to the request for a while, which speaks for the parts of its prompt as a complete
    /// answer does.
    void noteWriting(instant now, const request_fingerprints &request);
    /// Processes a message of another entry.
    void onMessage(instant now, const crash_message &message);
    /// Returns what this entry has observed itself, for its record.
    crash_evidence observations(instant now, std::size_t limit) const;
    /// Processes a record, @p isOwn if this entry wrote it before it restarted.
    void onRecord(instant now, const crash_evidence &evidence, bool isOwn);
    /// Sets the number of entries that admit trial requests before this one.
    void setRank(std::size_t rank) noexcept;

    /// Decides on a new request.
    quarantine_admission admit(instant now, const request_fingerprints &request);
    /// Returns for how much longer a request that was admitted must not be sent to an upstream; zero if it may be. @p isTrial: as admit()
    /// returned it, until the first attempt has ended.
    duration quarantinedFor(instant now, const request_fingerprints &request, bool isTrial = false);
    /// Return the quarantines that have begun since the last call.
    std::vector<started_quarantine> takeStarted(instant now);
    std::vector<started_part_quarantine> takeStartedParts(instant now);

    /// Returns the messages to send to all other entries now.
    std::vector<crash_message> dueMessages(instant now);
    /// Returns the messages that tell an entry what it has missed.
    std::vector<crash_message> introduction(instant now) const;

private:
    crash_tracker();
    void queue(instant now, const std::vector<crash_report> &reports);
    void tellCompleted(instant now, const std::vector<completed_part> &completed);
    void judge(instant now);

    request_quarantine m_requests;
    part_quarantine m_parts;
    crash_gossip m_gossip;
    bool m_isJudged = true; ///< Whether the verdicts follow from all that is known.
    instant m_judgedAt{};
    bool m_presumes = false; ///< Whether the verdicts follow from presumed crashes, too, which aren't known to end when they do.
};

} // namespace heatherroute
