#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heatherroute/log_line.h"
#include "heatherroute/registration.h"
#include "heatherroute/time.h"
#include "heatherroute/upstream_instance.h"

namespace heatherroute
{

/// A change of an upstream. isSeenInStore() relies on the order: first the changes in the store, then those learned
/// otherwise or not yet certain.
enum class upstream_change : std::uint8_t {
    Added,
    AddedDraining,
    Restarted, ///< Another instance with the same id.
    Draining,
    Ready, ///< No longer draining.
    Phase,
    Moved, ///< Changed its address or service.
    Removed,
    Lapsed, ///< Its registration expired in the store during or soon after an outage; it may come back.
    Displaced, ///< Another instance has taken its id.
    Leaving, ///< Announced by the upstream itself.
    Moving, ///< Ordered to another phase.
    Stays, ///< The order to another phase was not accepted.
};

/// Returns the name of the change in logs. Thread safe.
const char *toString(upstream_change change) noexcept;
/// Returns whether the store shows the change, so that every entry that reads the store sees it too. Thread safe.
bool isSeenInStore(upstream_change change) noexcept;

/// Durations used by an upstream_registry.
struct registry_settings
{
    /// How long a registration that expired during an outage of the store may take to come back after it.
    duration lapseGrace = std::chrono::seconds(2);
    /// How long a removed instance is remembered, so that a late report doesn't add it again.
    duration removedRetention = std::chrono::minutes(2);
    /// How long an engine that was ordered to another phase may take to report it: it finishes its work first, then it switches.
    duration moveTimeout = std::chrono::seconds(10);

    auto operator<=>(const registry_settings &) const = default;
};

/**
 * The known upstreams, from their registrations in the platform's store.
 *
 * Reports may arrive late, twice, or after the upstream's removal; the instance (id and start time) and its sequence number
 * determine which report is newer. During an outage of the store, registrations expire although their upstreams live, so a
 * removal that follows an outage takes effect only if the upstream has not come back within a grace period. Not thread safe.
 * Instants must not decrease.
 */
class upstream_registry
{
public:
    /// Called for each change that affects routing.
    using change_hook = std::function<void(const registration &run, upstream_change change)>;

    static upstream_registry make(const registry_settings &settings, change_hook onChange);

    /// Processes a report of an upstream.
    void onReport(const registration &report);
    /// Processes the removal of @p id from the store.
    void onRemoved(instant now, const std::string &id);
    /// Processes an update from an entry that reads the store: the instance of @p report is gone for good.
    void onRemovalReceived(instant now, const registration &report);
    /// Processes a complete read: the store holds exactly the registrations of @p ids, and all others are gone.
    void onSnapshot(instant now, const std::set<std::string> &ids);
    /// Records that the store has not answered for a while.
    void onStoreLost(instant now);
    /// Records that the store answers again.
    void onStoreBack(instant now);
    /// Records that an upstream answered as another instance of @p id, so the known instance is gone.
    void onDisplaced(const std::string &id);
    /// Records that @p instance announced that it leaves; the store may not show this yet. It holds until another instance has its id.
    void onLeaving(const upstream_instance &instance);
    /// Records that the engine @p id is ordered to phase @p to. It gets no work until it reports that phase or the
    /// move times out. A repeated call doesn't extend the timeout. If @p to is its current phase, the move is cancelled.
    void onMoving(instant now, const std::string &id, engine_phase to);
    /// Performs the removals whose grace period has passed, and ends moves that have timed out.
    void advance(instant now);

    /// Returns the instance of @p id; null when there is none. Valid until the next change.
    const registration *find(const std::string &id) const;
    /// Returns the instances of @p service that may get new work, including engines that switch between phases.
    std::vector<const registration *> usable(const std::string &service) const;
    /// Returns the instances of @p service that may get new work in @p phase.
    std::vector<const registration *> usable(const std::string &service, engine_phase phase) const;
    /// Returns whether the instance of @p id may get new work in the phase that it has reported.
    bool isUsable(const std::string &id) const;
    /// Returns whether @p instance is the known one of its id and may get work, whatever its phase.
    bool takesWork(const upstream_instance &instance) const;
    /// Returns the software versions of all registered instances of @p service; with an empty one if that of an instance is unknown.
    std::set<std::string> softwareVersions(const std::string &service) const;
    /// Returns the instances whose registrations say that they leave.
    std::vector<const registration *> draining() const;
    /// Returns whether removals take effect at once, so that other entries may rely on this entry's list. False during an outage
    /// of the store and for the grace period after it.
    bool isAuthoritative(instant now) const noexcept
    {
        return !m_storeLostAt && now >= m_graceUntil;
    }
    /// Returns whether the complete list was read at least once.
    bool isComplete() const noexcept
    {
        return m_complete;
    }

private:
    struct phase_change
    {
        engine_phase to = engine_phase::Decode;
        instant until{};
    };
    struct known_run
    {
        registration run;
        std::optional<instant> removeAt; ///< Set when the registration has expired in the store: the time of the removal.
        bool displaced = false;
        bool leaving = false; ///< Announced by the instance itself.
        std::optional<phase_change> moving;
    };
    struct removed_run
    {
        std::uint64_t startedAt = 0;
        std::uint64_t sequence = 0;
        instant at{};
        bool leaving = false; ///< As above.
    };

    upstream_registry(const registry_settings &settings, change_hook onChange);
    static bool isUsable(const known_run &entry);
    void remove(instant now, const std::string &id);
    void expireRemoved(instant now);
    bool isStale(const registration &report) const;

    registry_settings m_settings;
    change_hook m_onChange;
    std::map<std::string, known_run> m_runs;
    std::map<std::string, removed_run> m_removed;
    std::optional<instant> m_storeLostAt;
    instant m_graceUntil{};
    bool m_complete = false;
};

} // namespace heatherroute
