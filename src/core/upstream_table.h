#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "heatherroute/connect_backoff.h"
#include "heatherroute/inventory.h"

namespace heatherroute
{

/**
 * The configured upstreams of this entry's half and the capacity that this entry has reserved on each.
 *
 * Not thread safe.
 */
class upstream_table
{
public:
    /// Capacity that this entry has reserved on one upstream.
    struct usage
    {
        std::uint32_t slots = 0;
        std::uint32_t pieces = 0;
        std::uint32_t runningSlots = 0; ///< Reserved slots whose tokens have begun to arrive; the engine's reports include these.
        std::uint32_t runningPieces = 0; ///< Pieces of the running slots.
        std::uint64_t queuedTokens = 0; ///< Prompt tokens sent to a prefill engine that has not finished them.
        std::uint32_t queuedPrompts = 0;
        bool operator==(const usage &) const = default;
    };

    /// An upstream and the capacity reserved on it. Kept while capacity is reserved, even after removal from the configuration.
    struct entry
    {
        upstream config;
        usage used;
        bool inConfiguration = true;
        bool acceptsWork() const noexcept
        {
            return inConfiguration && config.state == upstream_state::Active;
        }
        bool operator==(const entry &) const = default;
    };

    upstream_table();

    /// Sets the function that tells candidates() whether any new work is admitted now. Without it, work is always admitted.
    void setAdmissionCheck(std::function<bool()> admitsWork);
    /// Adds or replaces an upstream.
    void upsert(const upstream &config);
    /// Marks an upstream as removed from the configuration.
    void remove(const std::string &name);
    /// Returns the upstream called @p name; null when unknown.
    const entry *find(const std::string &name) const;
    /// Returns the upstreams that accept work of @p kind for @p modelOrService and are reachable, ordered by name; none while no work is admitted.
    std::vector<const entry *> candidates(instant now, upstream_kind kind, const std::string &modelOrService) const;
    /// Which upstreams can't be connected to. A changed address ends a backoff.
    connect_backoff &connects() noexcept
    {
        return m_connects;
    }
    /// Returns whether the configuration has any upstream of @p kind for @p modelOrService.
    bool serves(upstream_kind kind, const std::string &modelOrService) const;
    /// Returns all upstreams, ordered by name.
    std::vector<const entry *> all() const;

    /// Reserves one slot and @p pieces. Precondition: the upstream is known.
    void reserve(const std::string &name, std::uint32_t pieces);
    /// Releases one slot and @p pieces. Precondition: they are reserved.
    void release(const std::string &name, std::uint32_t pieces);
    /// Counts one reserved slot and @p pieces as running. Precondition: they are reserved.
    void beginRunning(const std::string &name, std::uint32_t pieces);
    /// Reverts beginRunning(); must precede the release. Precondition: they are counted as running.
    void endRunning(const std::string &name, std::uint32_t pieces);
    /// Counts a prompt as queued. Precondition: the upstream is known.
    void queuePrompt(const std::string &name, std::uint64_t tokens);
    /// Reverts queuePrompt(); must precede the release. Precondition: the prompt is counted as queued.
    void dequeuePrompt(const std::string &name, std::uint64_t tokens);
    /// Returns a number that grows with each change of the configuration of an upstream.
    std::uint64_t revision() const noexcept
    {
        return m_revision;
    }
    /// Returns the upstream that follows @p name by name, wrapping around after the last one; null when the table is empty.
    const entry *after(const std::string &name) const;
    std::size_t size() const noexcept
    {
        return m_entries.size();
    }

private:
    using pool_key = std::pair<upstream_kind, std::string>;

    void eraseIfUnused(const std::string &name);
    void removeFromPool(const upstream &config);

    std::function<bool()> m_admitsWork;
    std::map<std::string, entry> m_entries;
    connect_backoff m_connects;
    std::map<pool_key, std::vector<std::string>> m_pools;
    std::uint64_t m_revision = 0;
};

} // namespace heatherroute
