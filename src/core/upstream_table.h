#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "heatherroute/inventory.h"

namespace heatherroute
{

/**
 * The upstreams of this entry's half that the configuration names, with the work this entry has on each.
 *
 * Not thread safe.
 */
class upstream_table
{
public:
    /// Capacity that this entry takes on one upstream.
    struct usage
    {
        std::uint32_t slots = 0;
        std::uint32_t pieces = 0;
        std::uint32_t runningSlots = 0; ///< Those of them whose tokens have begun to arrive; the engine's reports show these.
        std::uint32_t runningPieces = 0;
        std::uint64_t queuedTokens = 0; ///< Prompt tokens sent to a prefill engine that hasn't finished them.
        std::uint32_t queuedPrompts = 0;
        bool operator==(const usage &) const = default;
    };

    /// One upstream and the work on it. Stays while work runs, also after the configuration has dropped it.
    struct entry
    {
        upstream config;
        usage used;
        bool inConfiguration = true;
        bool mayTakeWork() const noexcept
        {
            return inConfiguration && config.state == upstream_state::Active;
        }
        bool operator==(const entry &) const = default;
    };

    /// Sets what tells whether any new work may be given now, asked at each choice. Without it, it always may.
    void setGate(std::function<bool()> mayGiveWork);
    /// Adds or replaces an upstream.
    void upsert(const upstream &config);
    /// Takes an upstream out of the configuration.
    void remove(const std::string &name);
    /// The upstream called @p name; null when unknown.
    const entry *find(const std::string &name) const;
    /// The upstreams that may take work of @p kind for @p modelOrService, in order of name; none while the gate is shut.
    std::vector<const entry *> candidates(upstream_kind kind, const std::string &modelOrService) const;
    /// Whether the configuration names any upstream of @p kind for @p modelOrService.
    bool serves(upstream_kind kind, const std::string &modelOrService) const;
    /// All upstreams in order of name.
    std::vector<const entry *> all() const;

    /// Counts @p pieces and one slot as used. Precondition: the upstream is known.
    void take(const std::string &name, std::uint32_t pieces);
    /// Gives back what take() counted. Precondition: it was taken.
    void giveBack(const std::string &name, std::uint32_t pieces);
    /// Of what was taken, @p pieces and one slot have begun to run. Precondition: they were taken.
    void beginRunning(const std::string &name, std::uint32_t pieces);
    /// The opposite of beginRunning(); before giveBack(). Precondition: they run.
    void endRunning(const std::string &name, std::uint32_t pieces);
    /// Counts a prompt as queued. Precondition: the upstream is known.
    void queuePrompt(const std::string &name, std::uint64_t tokens);
    /// The opposite of queuePrompt(); before giveBack(). Precondition: it was queued.
    void unqueuePrompt(const std::string &name, std::uint64_t tokens);
    /// Grows with each change of the configuration of an upstream.
    std::uint64_t revision() const noexcept
    {
        return m_revision;
    }
    /// The upstream after @p name in order of name, from the start after the last one; null when there is none.
    const entry *after(const std::string &name) const;
    std::size_t size() const noexcept
    {
        return m_entries.size();
    }

private:
    using pool_key = std::pair<upstream_kind, std::string>;

    void forgetIfUnused(const std::string &name);
    void removeFromPool(const upstream &config);

    std::function<bool()> m_mayGiveWork;
    std::map<std::string, entry> m_entries;
    std::map<pool_key, std::vector<std::string>> m_pools;
    std::uint64_t m_revision = 0;
};

} // namespace heatherroute
