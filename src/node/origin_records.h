#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heatherroute/member.h"
#include "heatherroute/stream_origin_message.h"
#include "heatherroute/time.h"
#include "relay/origin_record_requests.h"
#include "relay/origin_recorder.h"

namespace heatherroute::node
{

/// Dependencies of an origin_records.
struct origin_records_hooks
{
    /// Sends a message to the entry with the peer address.
    std::function<void(stream_origin_message message, std::string peerAddress)> send;
    /// Records origins in the platform's store; onRecorded() follows. @p waited: how long the first of them has waited at this entry.
    std::function<void(std::vector<stream_origin>, duration waited)> record;
    /// Whether several versions of a service have served within @p window, so that the history of versions doesn't tell which of them began a stream.
    std::function<bool(const std::string &service, duration window)> hasSeveralVersions;
    std::function<void(const std::string &outcome)> count; ///< Counts a stream whose record was requested: "recorded", "late" or "not_awaited".
};

/**
 * Lets the origins of streams be recorded in the platform's store, and knows which of them are.
 *
 * While one version serves, origins are recorded with others a few times a second. While several do, a caller that has an event of a stream can take
 * it up after a loss of all entries only by its record; then the record is requested at once, and the first event waits for it.
 *
 * Belongs to the relay's thread and must outlive the coroutines on its executor.
 */
class origin_records
{
public:
    origin_records(boost::asio::any_io_executor executor, origin_records_hooks hooks, const std::string &entryName);

    /// Records the origin of a stream of this entry that has just begun. @p isResumable: its caller may take it up.
    void addBegun(const stream_origin &origin, bool isResumable);
    /// Records an origin that has changed since, or whose record was lost.
    void addAgain(const stream_origin &origin);
    /// Waits until the origin of a stream is in the store, for @p maxWait at most. Returns at once if its record wasn't requested, or while the
    /// recorders don't answer.
    boost::asio::awaitable<void> waitUntilRecorded(std::uint64_t stream, duration maxWait);
    /// Records that the store holds the origins that the hook got last.
    void onRecorded();

    /// Sets the other entries that are not dead.
    void setMembers(const std::vector<member> &others);
    /// Processes a message of the entry with the peer address @p from. Returns false if it isn't about records.
    bool onMessage(const std::string &from, const stream_origin_message &message);
    /// Sends and records what is due. To be called regularly.
    void advance();

private:
    /// The origin of a resumable stream whose record wasn't urgent when it began.
    struct batched_origin
    {
        instant begunAt{};
        stream_origin origin;
    };

    /// Returns whether streams of the origin's service that begin now can be resumed after a loss of all entries only if they have been recorded.
    bool isUrgent(const stream_origin &origin) const;
    void request(const stream_origin &origin);
    void addToBatch(const stream_origin &origin);
    /// Requests the records of streams that had just begun when this entry learned of another version.
    void requestLate();
    void sendRequests();
    /// Records the origins that are due at this entry, and sets the timer for the next ones.
    void recordDue();
    /// Notes the time when the first origin has come that is to be recorded here.
    void noteUnrecorded();
    void onAck(const origin_record_ack &ack);
    void send(std::vector<addressed_origin_message> messages);

    boost::asio::any_io_executor m_executor;
    origin_records_hooks m_hooks;
    origin_recorder m_recorder;
    origin_record_requests m_requests;
    std::deque<batched_origin> m_batched; ///< That may not be in the store yet, the oldest first.
    boost::asio::steady_timer m_recordTimer;
    std::optional<instant> m_unrecordedSince; ///< When the first of the origins came that are to be recorded here.
    std::set<boost::asio::steady_timer *> m_waits; ///< The timers of waitUntilRecorded().
};

} // namespace heatherroute::node
