#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "heatherroute/member.h"
#include "heatherroute/stream_origin_message.h"
#include "heatherroute/time.h"
#include "relay/stream_origin_exchange.h"

namespace heatherroute
{

/// Settings of an origin_recorder.
struct origin_recorder_settings
{
    /// Entries that write records. Their number doesn't grow with the fleet, and so neither do the calls to the store; there is more than one so
    /// that origins are recorded while one of them is lost or out of reach of the store.
    std::size_t recorders = 2;
    duration recordInterval = std::chrono::milliseconds(500); ///< Between two records of one entry.
    std::size_t maxWaiting = 20'000; ///< Origins beyond this number are not recorded.

    auto operator<=>(const origin_recorder_settings &) const = default;
};

/**
 * Collects the origins of streams that have begun, for records that outlast a restart of all entries.
 *
 * Load pattern: all entries lose power at the same moment while streams of several software versions run, and the callers come back with
 * them. Each entry sends the origins of its streams, once their first event has come, to the first of the entries that read the store, and each
 * of these records all of them a few times a second. What began after the last record is lost; it stays unknown, unless one version only has served
 * (see version_history). Pure; not thread safe. Instants must not decrease.
 */
class origin_recorder
{
public:
    /// @p entryName: the name of this entry among the members.
    static origin_recorder make(const origin_recorder_settings &settings, const std::string &entryName);

    /// Sets the other entries that are not dead.
    void setMembers(const std::vector<member> &others);
    /// Adds the origin of a stream of this entry that has begun, or whose origin has changed since.
    void add(const stream_origin &origin);
    /// Adds what another entry wants to be recorded.
    void onBatch(const stream_origin_batch &batch);
    /// Returns the messages to the entries that write records.
    std::vector<addressed_origin_message> dueMessages();
    /// Returns the origins that this entry is to record now.
    std::vector<stream_origin> dueRecord(instant now);

private:
    origin_recorder(const origin_recorder_settings &settings, const std::string &entryName);
    void keep(const stream_origin &origin);

    origin_recorder_settings m_settings;
    member m_self;
    bool m_isRecorder = true;
    std::vector<std::string> m_recorders; ///< Peer addresses of the others that write records.
    std::vector<stream_origin> m_unsent;
    std::vector<stream_origin> m_unrecorded;
    std::optional<instant> m_recordedAt;
};

} // namespace heatherroute
