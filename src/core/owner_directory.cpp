#include "core/owner_directory.h"

namespace heatherroute
{

void owner_directory::setUpstream(const std::string &name, const upstream *config)
{
    const auto known = m_halfOf.find(name);
    if (known != m_halfOf.end() && (config == nullptr || config->half != known->second)) {
        m_halves[known->second].removeUpstream(name);
        m_halfOf.erase(known);
    }
    if (config != nullptr) {
        m_halfOf[name] = config->half;
        m_halves[config->half].addUpstream(name);
    }
}

void owner_directory::setMember(const member &known)
{
    m_halves[known.half].setMember(known.id, known.state);
}

std::optional<std::string> owner_directory::halfOf(const std::string &upstream) const
{
    const auto known = m_halfOf.find(upstream);
    return known == m_halfOf.end() ? std::nullopt : std::optional(known->second);
}

std::optional<member_id> owner_directory::ownerOf(const std::string &upstream) const
{
    const auto known = m_halfOf.find(upstream);
    return known == m_halfOf.end() ? std::nullopt : m_halves.at(known->second).ownerOf(upstream);
}

} // namespace heatherroute
