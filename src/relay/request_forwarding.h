#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "heatherroute/connect_backoff.h"
#include "heatherroute/entry_reach.h"
#include "heatherroute/member.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// Bounds of a request_forwarding.
struct forwarding_settings
{
    /// For how long an entry that said it is cut off isn't asked. Statements aren't repeated, and the one that ends it may be lost.
    duration recheckDelay = std::chrono::milliseconds(500);
    duration statementLifetime = std::chrono::seconds(5); ///< For how long it is then asked only if there is no other.
    std::size_t maxDoubtfulAsked = 2; ///< Entries asked before one request gets no more of those.
    duration declineLifetime = std::chrono::milliseconds(300); ///< For how long an entry that declined for another reason is asked only if there is no other.
    std::size_t maxAsked = 8; ///< Entries that one request may be passed to before it is refused.
    std::size_t maxInFlightPerEntry = 64; ///< Requests that this entry has passed to one other entry at a time.
    std::size_t maxAccepted = 192; ///< Requests of other entries that this entry serves at a time.
    double distantCost = 2.0; ///< An entry of another zone counts as having this many requests more.
    duration minTimeLeft = std::chrono::milliseconds(20); ///< With less time left, another entry can't answer in time.

    auto operator<=>(const forwarding_settings &) const = default;
};

/// Why an entry doesn't serve a request that another entry has passed to it. The request has not run.
enum class forward_decline : std::uint8_t {
    CutOff, ///< It doesn't reach the upstreams either.
    Suspected, ///< It could not connect to upstreams, and doesn't know yet whether it reaches others.
    Busy, ///< It serves as many requests of other entries as it may.
    NotReady, ///< It has no configuration yet, another one that routes the request elsewhere, or stops.
};

/// The name used in logs and between entries. Thread safe.
std::string_view toString(forward_decline reason) noexcept;
/// Returns the reason called @p name; empty when there is none. Thread safe.
std::optional<forward_decline> parseForwardDecline(std::string_view name) noexcept;

/// Where a request is to be served.
enum class serving_place : std::uint8_t {
    Here,
    OtherEntry,
    Nowhere, ///< No entry is known that could serve it.
};

/// A request for which an entry decides where it is to be served.
struct forwarding_question
{
    std::set<std::string> pools; ///< The pools that it needs.
    bool isReachedHere = true; ///< Whether this entry reaches all of them.
    bool isFromEntry = false; ///< Another entry has passed it on.
    std::set<std::string> asked; ///< Peer addresses of the entries that have declined it or couldn't be connected to.
    duration timeLeft{};

    auto operator<=>(const forwarding_question &) const = default;
};

/// The decision on such a request.
struct forwarding_decision
{
    serving_place place = serving_place::Here;
    std::string entry; ///< Name of the other entry.
    std::string peerAddress; ///< Its address among entries, which identifies it here.
    std::string address; ///< Where it takes the request.

    auto operator<=>(const forwarding_decision &) const = default;
};

/**
 * Decides whether an entry serves a request itself, passes it to another entry, and to which, or refuses it.
 *
 * Load pattern: a part of the entries, or most of them, lose their links to the upstreams while callers keep using them. The others serve the
 * requests of all. An entry passes a request on only once, so it can't go in a circle. An entry that has said within some
 * seconds that it doesn't reach a pool of the request is asked only if there is no other, and not at all at first; one that declines is known for
 * later requests, and the next one is asked. Entries
 * with fewer requests of this entry come first, those of its own zone before others, and none gets more than its bound. Pure; not thread safe.
 * Instants must not decrease.
 */
class request_forwarding
{
public:
    static request_forwarding make(const forwarding_settings &settings, std::string ownZone);

    /// Sets the other entries. What is known of entries that aren't among them any more is forgotten.
    void setMembers(const std::vector<member> &others);
    /// Processes the statement of the entry with the peer address @p from. An older one than is known is ignored.
    void onStatement(instant now, const std::string &from, const entry_reach &statement);
    /// Records that the entry declined a request that needed @p pools.
    void noteDeclined(instant now, const std::string &peerAddress, const std::set<std::string> &pools, forward_decline reason);
    /// Records that the entry could not be connected to.
    void noteUnreachable(instant now, const std::string &peerAddress);
    /// Records that the entry has answered a request.
    void noteAnswered(const std::string &peerAddress);
    /// Records that a request is passed to the entry, and that it has ended there.
    void noteBegun(const std::string &peerAddress);
    void noteEnded(const std::string &peerAddress);

    forwarding_decision decide(instant now, const forwarding_question &question, std::mt19937_64 &random) const;
    /// Returns whether this entry may serve one more request of another entry while it serves @p accepted of them.
    bool mayAccept(std::size_t accepted) const noexcept
    {
        return accepted < m_settings.maxAccepted;
    }

private:
    struct known_entry
    {
        member_id id;
        std::string zone;
        bool isAlive = false;
        std::uint64_t incarnation = 0; ///< Of the process that made the statement.
        std::uint32_t number = 0;
        std::string address;
        std::map<std::string, instant> cutOffAt; ///< When it last said that it is cut off, by pool.
        instant declinesUntil{};
        std::size_t inFlight = 0;
    };

    request_forwarding(const forwarding_settings &settings, std::string ownZone);
    bool mayAsk(instant now, const known_entry &entry, const std::string &peerAddress, const forwarding_question &question) const;
    /// Returns the time since the entry last said that it is cut off from a pool of @p question, if that still counts.
    std::optional<duration> cutOffAge(instant now, const known_entry &entry, const forwarding_question &question) const;

    forwarding_settings m_settings;
    std::string m_ownZone;
    connect_backoff m_connects; ///< By peer address.
    std::map<std::string, known_entry> m_entries; ///< By peer address.
};

} // namespace heatherroute
