#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heatherroute/member.h"
#include "heatherroute/stream_origin_message.h"
#include "heatherroute/time.h"
#include "relay/stream_origin_table.h"

namespace heatherroute
{

/// Settings of a stream_origin_exchange.
struct origin_exchange_settings
{
    std::size_t keepers = 3; ///< Entries that remember an origin beside the one that began the stream.
    /// Entries asked for an origin, and at most told of it: further ones in place of those that don't acknowledge, and entries that have
    /// joined may come before those that remember it.
    std::size_t askedEntries = 6;
    duration resendInterval = std::chrono::milliseconds(100);
    std::uint32_t maxSends = 4; ///< Of one report to one entry.
    duration queryTimeout = std::chrono::milliseconds(300); ///< How long replies to a query are awaited; half of them are sent again before.

    auto operator<=>(const origin_exchange_settings &) const = default;
};

/// A message for one entry.
struct addressed_origin_message
{
    std::string peerAddress;
    stream_origin_message message;

    auto operator<=>(const addressed_origin_message &) const = default;
};

/// How a query for an origin has ended.
struct origin_query_result
{
    std::uint32_t number = 0;
    std::optional<stream_origin> origin; ///< Empty if none of the entries that were asked knows it.

    auto operator<=>(const origin_query_result &) const = default;
};

/// A stream whose origin is sought.
struct sought_stream
{
    std::uint64_t stream = 0;
    std::string service; ///< To which its route leads now.
    duration window{}; ///< How long ago it can have begun.
    instant askedAt{}; ///< When its caller asked to take it up.

    auto operator<=>(const sought_stream &) const = default;
};

/// What follows from a received message.
struct origin_effects
{
    std::vector<addressed_origin_message> sends;
    std::vector<origin_query_result> results;
};

/**
 * Lets a few entries remember which software version began a stream, and asks them when a caller comes back with it.
 *
 * Load pattern: during a release two versions of an engine's software serve side by side, what they write doesn't fit together, and entries
 * are lost in groups while their callers come back at others. The entry that begins a stream reports its origin to some entries that follow
 * from the stream's id by rendezvous hashing, before the request is sent to the engine. Another entry finds them by the same hash. An origin
 * that none of them knows, nor a record (see origin_recorder), stays unknown, unless one version only has served since before the stream can
 * have begun. Not thread safe. Instants must not decrease.
 */
class stream_origin_exchange
{
public:
    /// Returns the only version that can have begun the stream; empty when there were several or it isn't known.
    using only_version_hook = std::function<std::optional<std::string>(const sought_stream &)>;

    static stream_origin_exchange make(const origin_exchange_settings &settings, only_version_hook onlyVersion);

    const origin_exchange_settings &settings() const noexcept
    {
        return m_settings;
    }
    /// Sets the other entries that are not dead.
    void setMembers(std::vector<member> others);

    /// Remembers @p origin and returns the reports to send. A later revision also goes to all that were told an earlier one.
    std::vector<addressed_origin_message> tell(instant now, const stream_origin &origin);
    /// Returns whether at least one other entry remembers the told origin, or there is no other entry.
    bool isKept(std::uint64_t stream) const;
    /// Returns whether every entry that may remember an origin of the stream remembers the last one.
    bool isKeptByAll(std::uint64_t stream) const;
    /// Remembers an origin that was read from a record.
    void note(instant now, const stream_origin &origin);
    /// Returns the origin that a request in progress has told.
    std::optional<stream_origin> toldOrigin(std::uint64_t stream) const;
    /// Records that the request that told an origin has ended.
    void finish(std::uint64_t stream);

    /// Returns the origin of a stream, if this entry remembers it or it follows from the versions that have served.
    std::optional<stream_origin> find(instant now, const sought_stream &sought) const;
    /// Begins a query and returns its number. onMessage() or advance() returns its result.
    std::uint32_t ask(instant now, const sought_stream &sought, std::vector<addressed_origin_message> *sends);

    /// Processes a message of the entry with the peer address @p from. A batch is for the origin_recorder, and changes nothing here.
    origin_effects onMessage(instant now, const std::string &from, const stream_origin_message &message);
    /// Returns the messages to send again and the queries that have ended without an origin.
    origin_effects advance(instant now);
    /// Returns the reports by which others remember all that this entry does, since it stops.
    std::vector<addressed_origin_message> handOver(instant now) const;
    /// Returns the number of origins that this entry remembers.
    std::size_t size() const noexcept
    {
        return m_table.size();
    }

private:
    /// An origin of a request in progress.
    struct told_origin
    {
        stream_origin origin;
        std::uint32_t number = 0;
        std::set<std::string> acknowledged; ///< Peer addresses.
        std::set<std::string> open; ///< As above; those that have not acknowledged the last revision.
        std::vector<std::string> further; ///< As above; those to tell in place of others, the next one last.
        std::uint32_t sends = 1;
        instant sentAt{};
        bool isFinished = false;
    };
    struct open_query
    {
        sought_stream sought;
        std::set<std::string> open; ///< Entries that have not replied.
        instant startedAt{};
        bool isRepeated = false;
    };

    stream_origin_exchange(const origin_exchange_settings &settings, only_version_hook onlyVersion);
    static stream_origin_query queryOf(std::uint32_t number, const sought_stream &sought);
    static void appendReports(const told_origin &told, std::vector<addressed_origin_message> &sends);

    origin_exchange_settings m_settings;
    only_version_hook m_onlyVersion;
    stream_origin_table m_table;
    std::vector<member> m_others;
    std::map<std::uint64_t, told_origin> m_told; ///< By stream.
    std::map<std::uint32_t, std::uint64_t> m_toldNumbers; ///< Streams by the number of their last report.
    std::map<std::uint32_t, open_query> m_queries; ///< By number.
    std::uint32_t m_lastNumber = 0;
};

} // namespace heatherroute
