#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heatherroute/registration.h"
#include "heatherroute/time.h"
#include "relay/version_summary.h"

namespace heatherroute
{

/// Settings of a version_history.
struct version_history_settings
{
    /// Oldest list of upstreams that counts as current. An entry that is out of touch doesn't learn of new versions.
    duration maxListAge = std::chrono::milliseconds(2'500);
    duration retention = std::chrono::minutes(5); ///< How long a version that is gone is remembered.

    auto operator<=>(const version_history_settings &) const = default;
};

/**
 * Which software versions of a service have been registered lately.
 *
 * Load pattern: a caller takes up a stream whose origin no entry remembers. While one version only has served since before the stream can
 * have begun, its origin is known all the same; after a gap in which the list of upstreams wasn't current, a version may have come and gone
 * unseen. Engines that are restarted one by one under their ids replace one version by another without any registration being removed. All
 * entries may lose power at once, and with it what they knew; then the summary of one of them, from the store, and the registrations that were
 * written since cover the time before. Pure; not thread safe. Instants must not decrease.
 */
class version_history
{
public:
    static version_history make(const version_history_settings &settings);

    /// Records that this entry's list of upstreams held all that the store did @p age ago.
    void noteCurrent(instant now, duration age);
    /// Records that this entry has read the whole list from the store, beginning at @p begunAt, up to @p position.
    void noteRead(instant begunAt, std::optional<registrations_position> position = std::nullopt);
    /// Records that an upstream of @p service with @p version is registered, or was until now.
    void note(instant now, const std::string &service, const std::string &version);
    /// Records that @p run is registered under its id. What was registered under that id before has served until now, also if that instance had
    /// another version or service.
    void noteRegistered(instant now, const registration &run);
    /// Records that @p run was registered until now.
    void noteRemoved(instant now, const registration &run);
    /// Returns the only version that has been registered within @p window before the question came at @p askedAt; empty when there were several, or
    /// when this can't be known. @p present: the versions that are registered now. An entry may have been stopped or cut off until just now, so only
    /// a read that began after the question tells which versions had registered before it.
    std::optional<std::string>
    onlyVersion(instant now, instant askedAt, const std::string &service, const std::set<std::string> &present, duration window) const;
    /// Returns whether upstreams of @p service with more than one version have been registered within @p window, as far as this entry knows, so that
    /// onlyVersion() can't tell the version of a stream that begins now.
    bool hasSeveral(instant now, const std::string &service, duration window) const;
    /// Returns what this entry knows of the versions; empty if it hasn't read the list lately, or knows more versions than a summary holds.
    std::optional<version_summary> summary(instant now) const;
    /// Records a summary that an entry had written before @p writtenBefore, and the versions @p later of all registrations from its position on,
    /// which were read beginning at @p readBegunAt. Returns false if the list of this entry hasn't been current since then, so that a version may
    /// have served unseen in between.
    bool noteSummary(instant now, const version_summary &summary, instant writtenBefore, instant readBegunAt, const std::vector<seen_version> &later);
    /// Returns for how long before @p now the list of upstreams has been current without a gap; zero if it isn't current.
    duration currentTime(instant now) const;

private:
    /// What an upstream serves.
    struct served_version
    {
        std::string service;
        std::string version;

        auto operator<=>(const served_version &) const = default;
    };

    explicit version_history(const version_history_settings &settings);
    void count(const served_version &served);
    void discount(const served_version &served);

    version_history_settings m_settings;
    std::optional<instant> m_readBegunAt; ///< Of the last read.
    std::optional<registrations_position> m_position; ///< The end of the last read.
    std::optional<instant> m_currentAt; ///< The last time for which the list is known to have been current.
    instant m_currentSince{}; ///< The list has been current from then on, without a gap.
    std::map<std::string, std::map<std::string, instant>> m_lastSeen; ///< When each version was last registered, by service.
    std::map<std::string, served_version> m_registered; ///< By id of the upstream.
    std::map<served_version, std::size_t> m_registeredCounts; ///< Upstreams in m_registered.
};

} // namespace heatherroute
