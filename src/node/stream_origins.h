#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heatherroute/log_line.h"
#include "heatherroute/member.h"
#include "heatherroute/registration.h"
#include "node/origin_records.h"
#include "relay/stream_origin_exchange.h"
#include "relay/stream_writers.h"

namespace heatherroute::node
{

/// Dependencies of a stream_origins.
struct stream_origins_hooks
{
    /// Sends a message to the entry with the peer address.
    std::function<void(stream_origin_message message, std::string peerAddress)> send;
    stream_origin_exchange::only_version_hook onlyVersion;
    std::function<bool(const std::string &service)> mayBeOnly; ///< Whether all registered upstreams of the service have one version.
    std::function<void()> readUpstreams; ///< Begins to read the registrations, which onlyVersion needs.
    /// As in origin_records_hooks.
    std::function<void(std::vector<stream_origin>, duration waited)> record;
    std::function<bool(const std::string &service, duration window)> hasSeveralVersions;
    std::function<void(const std::string &outcome)> countRecord;
    /// Whether the versions that have served are known for less than that time, so that onlyVersion can't tell any.
    std::function<bool(duration window)> hasShortHistory;
    /// Begins to read the records; onRecorded() gets them. With versions, also what they tell of the versions that have served.
    std::function<void(bool withVersions)> readRecords;
};

/**
 * Makes the software versions that began streams known to some entries, and finds them again.
 *
 * Belongs to the relay's thread and must outlive the coroutines on its executor.
 */
class stream_origins
{
public:
    stream_origins(boost::asio::any_io_executor executor, stream_origins_hooks hooks, const std::string &entryName);

    /// Reports @p origin to the entries that should remember it.
    void tell(const stream_origin &origin);
    /// Waits a short time until another entry remembers what tell() has reported, or every entry that must if @p byAll is set. Returns
    /// whether that is so.
    boost::asio::awaitable<bool> waitUntilKept(std::uint64_t stream, bool byAll);
    /// Records that @p run gets the request whose origin tell() has reported. @p isConfirmed: the engine itself has just named its instance.
    void noteWriter(std::uint64_t stream, const registration &run, bool isConfirmed);
    /// Records that a part of a stream has come from its writer. With the first one its version is final. @p isResumable: its caller may take it up.
    void notePart(std::uint64_t stream, bool isResumable);
    /// As origin_records::waitUntilRecorded().
    boost::asio::awaitable<void> waitUntilRecorded(std::uint64_t stream, duration maxWait);
    /// Processes a change of the registry: @p run is the current instance of its id. Streams that were sent to an earlier one may have been
    /// written by either, so their origins count as unknown from now on, unless their writer is certain.
    void noteInstance(const registration &run);
    /// Records that the registry holds all that the store did at @p at.
    void noteList(instant at);
    /// Records that the answer to the request that told an origin has ended. If it is incomplete and its writer isn't certain, its origin counts
    /// as unknown until it is. @p waits: until the entries that remember the origin know that, for a short time; before it the caller, which comes
    /// back at once, should not learn of the end.
    boost::asio::awaitable<void> noteEnd(std::uint64_t stream, bool isComplete, bool waits);
    /// Records that the request that told an origin has ended.
    void finish(std::uint64_t stream);
    /// Returns the origin of a stream from this entry, others or the records; empty when it isn't known. @p isNamed: the caller names the
    /// stream, so that it may be in a record.
    boost::asio::awaitable<std::optional<stream_origin>> find(sought_stream sought, bool isNamed);
    /// Records the origins of the streams in progress again, since their records were lost.
    void recordAgain();
    /// Records that the store holds the origins that the hook got last.
    void onOriginsRecorded();
    /// Processes origins that were read from the records. @p isLast: the read has ended.
    void onRecorded(const std::vector<stream_origin> &origins, bool isLast);

    void setMembers(const std::vector<member> &others);
    /// Processes a message of the entry with the peer address @p from.
    void onMessage(const std::string &from, const stream_origin_message &message);
    /// Sends again what was not answered. To be called regularly.
    void advance();
    /// Lets other entries remember what this one does, since it stops.
    void stop();
    /// Returns the number of origins that this entry remembers.
    std::size_t size() const noexcept
    {
        return m_exchange.size();
    }

private:
    /// A query that waits for its result.
    struct waiting_query
    {
        boost::asio::steady_timer *timer = nullptr;
        std::optional<stream_origin> origin;
    };

    void send(std::vector<addressed_origin_message> messages);
    void carryOut(origin_effects effects);
    /// Reports and records the origin of a stream that has begun.
    void tellChanged(const stream_origin &origin);
    /// Returns the origin of a stream whose writer is certain, as far as this entry knows.
    std::optional<stream_origin> findCertain(const sought_stream &sought) const;
    /// Asks other entries for an origin.
    boost::asio::awaitable<std::optional<stream_origin>> query(sought_stream sought);
    /// As query(), but asks again for a short time while the writer of the stream isn't certain.
    boost::asio::awaitable<std::optional<stream_origin>> queryUntilCertain(sought_stream sought);
    boost::asio::awaitable<void> waitForRecords(bool withVersions);
    /// Waits a short time until the registrations have been read since @p sought was asked for. Returns the origin if that tells it.
    boost::asio::awaitable<std::optional<stream_origin>> findOnlyVersion(sought_stream sought);

    boost::asio::any_io_executor m_executor;
    stream_origins_hooks m_hooks;
    stream_origin_exchange m_exchange;
    stream_writers m_writers;
    origin_records m_records;
    std::map<std::uint32_t, waiting_query> m_queries; ///< By number.
    std::set<boost::asio::steady_timer *> m_keptWaits; ///< The timers of waitUntilKept().
    std::set<boost::asio::steady_timer *> m_recordWaits; ///< The timers of waitForRecords().
    std::optional<instant> m_readBegunAt; ///< Set while the records are being read.
    std::optional<instant> m_readAt; ///< The end of the last read.
    instant m_upstreamsWantedAt{}; ///< When the registrations were last asked for.
};

} // namespace heatherroute::node
