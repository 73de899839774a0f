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

namespace heatherroute
{

/// What became of an upstream: first what the store shows, then what an entry learned otherwise.
enum class upstream_change : std::uint8_t {
    Added,
    AddedDraining,
    Restarted, ///< Another run of the same name.
    Draining,
    Ready, ///< It drains no more.
    Phase,
    Moved, ///< To another address or service.
    Removed,
    Lapsed, ///< In the store; it may come back.
    Displaced,
    Leaving, ///< By its own word.
    Moving, ///< An order sends it to another phase.
    Stays, ///< That order was not accepted.
};

/// The change as a word in logs. Thread safe.
const char *toString(upstream_change change) noexcept;
/// Whether what the store holds shows the change, so that every entry that reads it sees the same. Thread safe.
bool isSeenInStore(upstream_change change) noexcept;

/// Times of an upstream_registry.
struct registry_settings
{
    /// After the store was away, how long an entry that lapsed meanwhile may take to come back.
    duration lapseGrace = std::chrono::seconds(2);
    /// How long a removed run is remembered, so that a late report doesn't bring it back.
    duration removedMemory = std::chrono::minutes(2);
    /// How long an engine that was ordered to another phase may take to report it: its work ends first, then it switches.
    duration moveTime = std::chrono::seconds(10);

    auto operator<=>(const registry_settings &) const = default;
};

/**
 * Which upstreams there are, from what they write to the platform's store.
 *
 * Reports may come late, twice, or after the upstream's removal; the run (id and start) and its sequence tell which is newer.
 * While the store is away, entries lapse there though their upstreams live, so a removal that follows an outage takes effect
 * only when the upstream has not come back within a grace. Not thread safe. Instants must not decrease.
 */
class upstream_registry
{
public:
    /// Told of each change that concerns routing.
    using change_hook = std::function<void(const registration &run, upstream_change change)>;

    static upstream_registry make(const registry_settings &settings, change_hook onChange);

    /// An upstream has reported.
    void onReport(const registration &report);
    /// The store holds no report of @p id any more.
    void onRemoved(instant now, const std::string &id);
    /// An entry that reads the store says that the run of @p report is gone for good.
    void onGone(instant now, const registration &report);
    /// The store holds exactly the reports of @p ids; all others are gone.
    void onComplete(instant now, const std::set<std::string> &ids);
    /// The store has not answered for a while.
    void onStoreLost(instant now);
    /// The store answers again.
    void onStoreBack(instant now);
    /// An upstream itself said that another run holds @p id now, so this run is gone.
    void onDisplaced(const std::string &id);
    /// An upstream itself said that it leaves; the store may not tell so yet.
    void onLeaving(const std::string &id);
    /// The engine of that id is sent to phase @p to. It gets no work until it reports that phase; its present phase calls the move off.
    void onMoving(instant now, const std::string &id, engine_phase to);
    /// Carries out the removals whose grace has passed.
    void advance(instant now);

    /// The run of that id; null when there is none. Valid until the next change.
    const registration *find(const std::string &id) const;
    /// The runs of @p service that may get new work, engines between two phases among them.
    std::vector<const registration *> usable(const std::string &service) const;
    /// The runs of @p service that may get new work in @p phase.
    std::vector<const registration *> usable(const std::string &service, engine_phase phase) const;
    /// Whether the run of that id may get new work in the phase that it has reported.
    bool isUsable(const std::string &id) const;
    /// Whether removals take effect at once, so that others may rely on this entry's list; not while the store is away and soon after.
    bool isCertain(instant now) const noexcept
    {
        return !m_lostAt && now >= m_graceUntil;
    }
    /// Whether the list was read whole at least once.
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
        std::optional<instant> removeAt; ///< It has lapsed in the store and is removed then.
        bool displaced = false;
        bool leaving = false; ///< By its own word, until it reports anew.
        std::optional<phase_change> moving;
    };
    struct removed_run
    {
        std::uint64_t startedAt = 0;
        std::uint64_t sequence = 0;
        instant at{};
    };

    upstream_registry(const registry_settings &settings, change_hook onChange);
    static bool isUsable(const known_run &entry);
    void remove(instant now, const std::string &id);
    void forgetOld(instant now);
    bool isLate(const registration &report) const;

    registry_settings m_settings;
    change_hook m_onChange;
    std::map<std::string, known_run> m_runs;
    std::map<std::string, removed_run> m_removed;
    std::optional<instant> m_lostAt;
    instant m_graceUntil{};
    bool m_complete = false;
};

} // namespace heatherroute
