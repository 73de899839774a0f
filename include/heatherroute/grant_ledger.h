#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "heatherroute/inventory.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// One life of an entry process: a restarted entry has the same name and another incarnation.
struct grant_holder
{
    std::string entry;
    std::uint64_t incarnation = 0;

    auto operator<=>(const grant_holder &) const = default;
};

/**
 * Names one reservation for good.
 *
 * The holder chooses the sequence and uses each one once, so a request that UDP delivers twice, late or out of order
 * can't reserve twice. Also the request id that the engine sees, which lets a new owner match the engine's own list.
 */
struct grant_id
{
    grant_holder holder;
    std::uint64_t sequence = 0;

    auto operator<=>(const grant_id &) const = default;
};

/// The request id given to engines: `entry/incarnation/sequence`. Thread safe.
std::string toRequestId(const grant_id &id);

/// Reads a request id back; an id of another form becomes a holder of its own, so that its memory is still counted. Thread safe.
grant_id fromRequestId(std::string_view requestId);

/// What an entry asks of the owner of an upstream.
struct grant_request
{
    grant_id id;
    std::uint32_t pieces = 0;
    priority_class priority = priority_class::Interactive;
    std::string team;
    duration expectedLifetime{}; ///< Until the holder expects to release; used only to estimate retryAfter.

    auto operator<=>(const grant_request &) const = default;
};

/// Why a request for a grant was refused.
enum class grant_refusal : std::uint8_t {
    NoSlot,
    NoMemory,
    TooLarge, ///< Needs more pieces than the upstream has; coming back is of no use.
    Rebuilding, ///< A new owner doesn't know yet what its predecessor granted.
    NotAccepting, ///< The upstream is leaving, or the ledger has been handed over.
    Closed, ///< This id was released, expired or cancelled before, or its holder is dead.
};

/// The name used in answers, logs and metrics. Thread safe.
std::string_view toString(grant_refusal value) noexcept;

/// The slot and the pieces are held until @p expiry unless renewed.
struct grant_given
{
    instant expiry;

    auto operator<=>(const grant_given &) const = default;
};

/// Nothing is held. @p retryAfter is an estimate; zero means that the same request has no use later.
struct grant_refused
{
    grant_refusal why = grant_refusal::NoSlot;
    duration retryAfter{};

    auto operator<=>(const grant_refused &) const = default;
};

using grant_answer = std::variant<grant_given, grant_refused>;

/// A request that an engine says it holds memory for.
struct engine_holding
{
    grant_id id;
    std::uint32_t pieces = 0;

    auto operator<=>(const engine_holding &) const = default;
};

/// Sizes and times of one ledger.
struct grant_ledger_settings
{
    std::uint32_t slots = 0;
    std::uint32_t pieces = 0;
    std::uint32_t interactiveSlots = 0; ///< Slots that batch work may not take, so that a short call finds one.
    duration lifetime = std::chrono::seconds(3); ///< From grant or renewal to expiry.
    duration orphanGrace = std::chrono::seconds(3); ///< From first sight of an unknown engine request to its cancel.
    duration closedMemory = std::chrono::seconds(30); ///< How long a closed id is remembered.
    std::size_t closedLimit = 128; ///< Closed ids remembered at most.
    std::size_t deadHolderLimit = 512; ///< Dead entries remembered at most.

    auto operator<=>(const grant_ledger_settings &) const = default;
};

/// Totals for metrics and state dumps.
struct grant_ledger_totals
{
    std::uint32_t slotsGranted = 0;
    std::uint32_t piecesGranted = 0;
    std::uint32_t slotsOrphaned = 0; ///< Held by the engine without a grant.
    std::uint32_t piecesOrphaned = 0;
    std::uint32_t slotsFree = 0; ///< What a request could get now; zero while rebuilding.
    std::uint32_t piecesFree = 0;
    std::uint32_t cancelling = 0; ///< Grants that wait for the engine to confirm a cancel.
    std::uint32_t slotsOverCommitted = 0; ///< Beyond capacity now, after a change of owner or a cut of capacity.
    std::uint32_t piecesOverCommitted = 0;
    std::uint64_t overCommits = 0; ///< Announced grants, over all time, that did not fit.
    bool rebuilding = false;

    auto operator<=>(const grant_ledger_totals &) const = default;
};

/**
 * The owner's exact account of one upstream's slots and memory pieces.
 *
 * Many entries share an engine that holds about twenty requests; if each judged by lagging load reports they would
 * overrun it. One entry, the owner, therefore grants every slot and piece through this ledger. A grant is a lease
 * (Gray and Cheriton, "Leases", SOSP 1989): it ends by release, or by expiry when its holder falls silent. An expired
 * or cancelled grant keeps its room until the engine confirms the cancel, because the engine's memory is still taken.
 *
 * Every call checks that the totals equal the sum of the grants, and that they exceed the capacity only by grants that
 * an earlier owner gave or by a cut of capacity. Not thread safe. Instants passed in must not decrease.
 */
class grant_ledger
{
public:
    /// A ledger of an upstream that certainly runs nothing yet, such as one that has just started.
    static grant_ledger make(const grant_ledger_settings &settings);

    /**
     * A ledger of an upstream that another owner may have granted from.
     *
     * It grants nothing until the engine's list has come (reconcile()) and each of @p expected has announced
     * (announceDone()) or died (cancelHolder()), or else until a list asked for after one grant lifetime, when no
     * unannounced grant of the earlier owner can still be valid.
     */
    static grant_ledger makeAdopting(instant now, const grant_ledger_settings &settings, std::set<grant_holder> expected);

    /// Reserves a slot and pieces, or refuses. A repeated id gets the answer of the first while the grant lives.
    grant_answer request(instant now, const grant_request &request);

    /// Extends a grant; empty when it is unknown or closed, and then the holder must stop the work it covers.
    std::optional<instant> renew(instant now, const grant_id &id);

    /// Frees a grant at once. Idempotent; an id that is released before its request arrives is never granted.
    void release(instant now, const grant_id &id);

    /// Closes each grant that passed its expiry; returns the ids to cancel on the engine.
    std::vector<grant_id> expire(instant now);

    /// Closes all grants of this one incarnation; returns the ids to cancel on the engine.
    std::vector<grant_id> cancelHolder(instant now, const grant_holder &holder);

    /// The engine confirmed that @p id no longer holds memory. Idempotent.
    void confirmCancelled(instant now, const grant_id &id);

    /// Ids whose cancel has not been confirmed, for sending again.
    std::vector<grant_id> unconfirmedCancels() const;

    /// Takes a grant that an earlier owner gave. It exists whether or not it fits; what doesn't fit is counted. False when the id is closed.
    bool announce(instant now, const grant_request &request);

    /// @p holder has announced all its grants.
    void announceDone(const grant_holder &holder);

    /**
     * Compares with the engine's own list.
     *
     * Returns ids that the engine holds without a grant for longer than the grace; the caller cancels them. They count
     * as used until a later list lacks them or confirmCancelled(). An unconfirmed cancel that the list lacks is settled.
     *
     * @p listedAt is when the engine was asked: a grant closed after that is not judged by this list.
     */
    std::vector<grant_id> reconcile(instant now, instant listedAt, const std::vector<engine_holding> &holdings);

    /// The engine restarted: nothing is held any more. Returns the ids whose work is lost.
    std::vector<grant_id> engineRestarted(instant now);

    /// Changes the capacity; grants beyond a smaller one run to their end.
    void setCapacity(std::uint32_t slots, std::uint32_t pieces);

    /// False stops new grants, for an upstream that is leaving; what was granted goes on.
    void setAccepting(bool accepting);

    /// Stops granting for good and returns all live grants for announce() at the next owner.
    std::vector<grant_request> handOver();

    grant_ledger_totals totals() const;

    /// Whether a change of owner is still being settled.
    bool rebuilding() const noexcept;

    /// The next instant at which expire() has something to do; empty when no grant is live.
    std::optional<instant> nextExpiry() const;

private:
    struct grant
    {
        grant_request request;
        instant expiry;
        instant expectedEnd;
        instant closedAt{};
        bool cancelling = false;
    };
    struct orphan
    {
        std::uint32_t pieces = 0;
        instant firstSeen;
    };

    explicit grant_ledger(const grant_ledger_settings &settings);

    void dropOrphan(const grant_id &id);
    void insert(instant now, const grant_request &request);
    void erase(std::map<grant_id, grant>::iterator position);
    void rememberClosed(instant now, const grant_id &id);
    void forgetClosed(instant now);
    bool isClosed(const grant_id &id) const;
    void rememberDead(const grant_holder &holder);
    void finishRebuild();
    std::uint32_t freeSlots() const;
    std::uint32_t freePieces() const;
    std::optional<grant_refusal> refusal(const grant_request &request) const;
    duration estimateWait(instant now, const grant_request &request) const;
    void settleCeiling();
    void check() const;

    grant_ledger_settings m_settings;
    std::map<grant_id, grant> m_grants;
    std::map<grant_id, orphan> m_orphans;
    std::deque<grant_id> m_closedOrder;
    std::map<grant_id, instant> m_closed; ///< When each id was closed.
    std::deque<grant_holder> m_deadOrder;
    std::set<grant_holder> m_dead;
    std::set<grant_holder> m_expected;
    std::optional<instant> m_rebuildUntil;
    std::optional<instant> m_listedAt;
    bool m_accepting = true;
    bool m_handedOver = false;
    std::uint32_t m_slotsGranted = 0;
    std::uint32_t m_piecesGranted = 0;
    std::uint32_t m_slotsOrphaned = 0;
    std::uint32_t m_piecesOrphaned = 0;
    std::uint32_t m_slotCeiling = 0; ///< Capacity, or what was granted when it last had to exceed it.
    std::uint32_t m_pieceCeiling = 0;
    std::uint64_t m_overCommits = 0;
};

} // namespace heatherroute
