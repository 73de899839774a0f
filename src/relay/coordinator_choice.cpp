#include "relay/coordinator_choice.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "heatherroute/ownership.h"

namespace heatherroute
{

coordinator_choice coordinator_choice::make(const std::string &self)
{
    return coordinator_choice(self);
}

coordinator_choice::coordinator_choice(const std::string &self)
    : m_self{{self, ""}, rendezvousHash(self)}
    , m_entries{m_self}
{ }

void coordinator_choice::setMembers(const std::vector<member> &others)
{
    m_entries.clear();
    if (!m_isStopping) {
        m_entries.push_back(m_self);
    }
    for (const member &other : others) {
        if (canOwn(other.state)) {
            m_entries.push_back({{other.id.name, other.peerAddress}, rendezvousHash(other.id.name)});
        }
    }
}

void coordinator_choice::stop()
{
    m_isStopping = true;
    std::erase_if(m_entries, [](const hashed_entry &one) { return one.entry.peerAddress.empty(); });
}

std::vector<coordinator> coordinator_choice::firstOf(const std::string &key, std::size_t count) const
{
    const std::uint64_t keyHash = rendezvousHash(key);
    std::vector<std::pair<std::uint64_t, const coordinator *>> scored;
    scored.reserve(m_entries.size());
    for (const hashed_entry &one : m_entries) {
        scored.emplace_back(rendezvousScore(keyHash, one.hash), &one.entry);
    }
    const auto last = scored.begin() + static_cast<std::ptrdiff_t>(std::min(count, scored.size()));
    // Of two equal scores the larger name wins, so that all entries agree.
    std::partial_sort(scored.begin(), last, scored.end(), [](const auto &left, const auto &right) {
        return std::tie(left.first, left.second->name) > std::tie(right.first, right.second->name);
    });
    std::vector<coordinator> result;
    for (auto one = scored.begin(); one != last; ++one) {
        result.push_back(*one->second);
    }
    return result;
}

bool coordinator_choice::isFirst(const std::string &key) const
{
    const std::vector<coordinator> first = firstOf(key, 1);
    return !first.empty() && first.front().peerAddress.empty();
}

} // namespace heatherroute
