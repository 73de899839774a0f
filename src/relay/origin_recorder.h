#pragma once

#include <compare>
#include <cstddef>
#include <deque>
#include <optional>
#include <set>
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
    duration requestedInterval = std::chrono::milliseconds(100); ///< The same while records are requested.
    std::size_t maxWaiting = 20'000; ///< Beyond this number the oldest origins are not recorded, since their streams end first.

    auto operator<=>(const origin_recorder_settings &) const = default;
};

/// The sender of an origin_record_request, which is acknowledged when the store holds the record.
struct origin_requester
{
    std::string peerAddress; ///< Empty for this entry itself.
    origin_record_ack ack; ///< That it awaits.

    auto operator<=>(const origin_requester &) const = default;
};

/**
 * Collects the origins of streams that have begun, for records that outlast a restart of all entries.
 *
 * Load pattern: all entries lose power at the same moment while streams of several software versions run, and the callers come back with
 * them. Each entry sends the origins of its streams, once their first event has come, to the first of the entries that read the store, and each
 * of these records all of them: a few times a second, or as soon as the store has taken the record before when an entry asks for it (see
 * origin_record_requests). What began after the last record is lost; it stays unknown, unless one version only has served (see version_history).
 * One record is written at a time, so a slow store makes records larger and not a queue of them. Requested records of different entries are
 * written in turns, since a request is met by the first one that has its origin. Pure; not thread safe. Instants must not decrease.
 */
class origin_recorder
{
public:
    /// @p entryName: the name of this entry among the members.
    static origin_recorder make(const origin_recorder_settings &settings, const std::string &entryName);

    /// Sets the other entries that are not dead. Returns whether other ones write records from now on.
    bool setMembers(const std::vector<member> &others);
    /// Adds the origin of a stream of this entry that has begun, or whose origin has changed since.
    void add(const stream_origin &origin);
    /// Adds what another entry wants to be recorded.
    void onBatch(const stream_origin_batch &batch);
    /// Adds an origin whose record the entry with the peer address requests, or this entry itself if it is empty. A repeated request changes
    /// nothing while the first one is open.
    void onRequest(instant now, const std::string &peerAddress, const origin_record_request &request);
    /// Returns the messages to the entries that write records.
    std::vector<addressed_origin_message> dueMessages();
    /// Returns the messages of @p request to the other entries that write records.
    std::vector<addressed_origin_message> requestMessages(const origin_record_request &request) const;
    /// Returns whether this entry writes records.
    bool isRecorder() const noexcept
    {
        return m_isRecorder;
    }
    /// Returns whether there are origins that dueRecord() is yet to return.
    bool hasUnrecorded() const noexcept
    {
        return !m_unrecorded.empty();
    }
    /// Returns the origins that this entry is to record now; empty until onRecorded() has been called for those that were returned before.
    std::vector<stream_origin> dueRecord(instant now);
    /// Returns when dueRecord() will return origins; empty if there are none, or while a record is being written.
    std::optional<instant> recordDueAt() const;
    /// Records that the store holds what dueRecord() has returned last. Returns the requests that are met by it.
    std::vector<origin_requester> onRecorded();

private:
    struct unrecorded_origin
    {
        stream_origin origin;
        std::optional<origin_requester> requester;
    };

    origin_recorder(const origin_recorder_settings &settings, const std::string &entryName);
    void keep(unrecorded_origin origin);

    origin_recorder_settings m_settings;
    member m_self;
    bool m_isRecorder = true;
    std::size_t m_turn = 0; ///< The place of this entry among those that write records.
    std::vector<std::string> m_recorders; ///< Peer addresses of the others that write records.
    std::vector<stream_origin> m_unsent;
    std::deque<unrecorded_origin> m_unrecorded;
    std::set<origin_requester> m_openRequests;
    std::optional<instant> m_requestedAt; ///< When the first of the requests came whose origins are unrecorded.
    std::vector<origin_requester> m_beingMet; ///< The requests for origins that are being recorded.
    bool m_isRecording = false;
    std::optional<instant> m_recordedAt; ///< When the last record was begun.
};

} // namespace heatherroute
