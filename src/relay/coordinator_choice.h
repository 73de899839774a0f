#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "heatherroute/member.h"

namespace heatherroute
{

/// An entry that may coordinate something for the fleet.
struct coordinator
{
    std::string name;
    std::string peerAddress; ///< Empty for this entry itself.

    auto operator<=>(const coordinator &) const = default;
};

/**
 * Chooses the entry that coordinates a key, such as the quota of a team, for all entries.
 *
 * Rendezvous hashing over the names of the entries that are alive or suspected: entries with the same view agree without a message, and
 * the loss of an entry moves its keys only. Pure; not thread safe.
 */
class coordinator_choice
{
public:
    /// Creates the choice at the entry @p self.
    static coordinator_choice make(const std::string &self);

    /// Sets the other entries that are not dead.
    void setMembers(const std::vector<member> &others);
    /// Records that this entry stops, so that others coordinate its keys.
    void stop();

    /// Returns the first @p count entries in the order of @p key; fewer if fewer are known.
    std::vector<coordinator> firstOf(const std::string &key, std::size_t count) const;
    /// Returns whether this entry is the first in the order of @p key.
    bool isFirst(const std::string &key) const;
    /// Returns the number of entries that may coordinate, this one included.
    std::size_t size() const noexcept
    {
        return m_entries.size();
    }

private:
    struct hashed_entry
    {
        coordinator entry;
        std::uint64_t hash = 0;
    };

    explicit coordinator_choice(const std::string &self);

    hashed_entry m_self;
    bool m_isStopping = false;
    std::vector<hashed_entry> m_entries;
};

} // namespace heatherroute
