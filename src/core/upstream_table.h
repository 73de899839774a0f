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

private:
    using pool_key = std::pair<upstream_kind, std::string>;

    void forgetIfUnused(const std::string &name);
    void removeFromPool(const upstream &config);

    std::function<bool()> m_mayGiveWork;
    std::map<std::string, entry> m_entries;
    std::map<pool_key, std::vector<std::string>> m_pools;
};

} // namespace heatherroute
