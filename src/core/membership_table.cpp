#include "core/membership_table.h"

#include "heatherroute/assert.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

void shuffle(std::vector<member_id> &ids, std::mt19937_64 &random)
{
    for (std::size_t i = ids.size(); i > 1; --i) {
        std::swap(ids[i - 1], ids[randomBelow(random, i)]);
    }
}

} // namespace

membership_table::membership_table(std::size_t maxMembers)
    : m_maxMembers(maxMembers)
{
    HR_ASSERT(maxMembers > 0);
}

const member *membership_table::find(const member_id &id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

const member *membership_table::liveAt(const std::string &address) const
{
    const auto found = m_liveByAddress.find(address);
    return found == m_liveByAddress.end() ? nullptr : find(found->second);
}

bool membership_table::insert(const member &added, std::mt19937_64 &random)
{
    HR_ASSERT(added.state != member_state::Dead);
    if (m_members.size() >= m_maxMembers) {
        if (m_dead.empty()) {
            return false;
        }
        m_members.erase(m_dead.front().id);
        m_dead.pop_front();
    }
    const bool isNew = m_members.emplace(added.id, added).second;
    HR_ASSERT(isNew);
    addLive(added, random);
    return true;
}

void membership_table::addLive(const member &added, std::mt19937_64 &random)
{
    const bool isFree = m_liveByAddress.emplace(added.peerAddress, added.id).second;
    HR_ASSERT(isFree);
    m_live.push_back(added.id);
    // A random position in the rest of the round, so that members that join together aren't probed by all at the same time.
    const std::size_t place = m_nextInRound + randomBelow(random, m_round.size() - m_nextInRound + 1);
    m_round.insert(m_round.begin() + static_cast<std::ptrdiff_t>(place), added.id);
}

void membership_table::removeLive(const member &removed)
{
    m_liveByAddress.erase(removed.peerAddress);
    m_live.erase(std::find(m_live.begin(), m_live.end(), removed.id));
}

void membership_table::update(const member_id &id, member_state state, std::uint32_t refutation, instant now, std::mt19937_64 &random)
{
    const auto found = m_members.find(id);
    HR_ASSERT(found != m_members.end());
    member &known = found->second;
    const bool wasDead = known.state == member_state::Dead;
    const bool isDead = state == member_state::Dead;
    known.state = state;
    known.refutation = refutation;
    if (isDead && !wasDead) {
        removeLive(known);
        m_dead.push_back({id, now});
    } else if (wasDead && !isDead) {
        std::erase_if(m_dead, [&id](const death &one) { return one.id == id; });
        addLive(known, random);
    }
}

void membership_table::setSummary(const member_id &id, const node_summary &summary)
{
    m_members.at(id).summary = summary;
}

std::size_t membership_table::liveCount() const
{
    return m_live.size();
}

const member *membership_table::nextToProbe(std::mt19937_64 &random)
{
    if (m_live.empty()) {
        return nullptr;
    }
    while (true) {
        if (m_nextInRound >= m_round.size()) {
            m_round = m_live;
            m_nextInRound = 0;
            shuffle(m_round, random);
        }
        const member *candidate = find(m_round[m_nextInRound++]);
        if (candidate != nullptr && candidate->state != member_state::Dead) {
            return candidate;
        }
    }
}

const member *membership_table::randomLive(std::mt19937_64 &random) const
{
    return m_live.empty() ? nullptr : find(m_live[randomBelow(random, m_live.size())]);
}

const member *membership_table::randomDead(std::mt19937_64 &random) const
{
    return m_dead.empty() ? nullptr : find(m_dead[randomBelow(random, m_dead.size())].id);
}

void membership_table::purgeDead(instant limit)
{
    while (!m_dead.empty() && m_dead.front().at < limit) {
        m_members.erase(m_dead.front().id);
        m_dead.pop_front();
    }
}

const std::map<member_id, member> &membership_table::all() const
{
    return m_members;
}

} // namespace heatherroute
