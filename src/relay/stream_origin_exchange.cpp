#include "relay/stream_origin_exchange.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

std::uint32_t millisecondsOf(duration value)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace

stream_origin_exchange stream_origin_exchange::make(const origin_exchange_settings &settings, only_version_hook onlyVersion)
{
    return {settings, std::move(onlyVersion)};
}

stream_origin_exchange::stream_origin_exchange(const origin_exchange_settings &settings, only_version_hook onlyVersion)
    : m_settings(settings)
    , m_onlyVersion(std::move(onlyVersion))
    , m_table(stream_origin_table::make({}))
{ }

void stream_origin_exchange::setMembers(std::vector<member> others)
{
    m_others = std::move(others);
    std::set<std::string> present;
    for (const member &other : m_others) {
        present.insert(other.peerAddress);
    }
    const auto isGone = [&present](const std::string &address) { return !present.contains(address); };
    for (auto &[stream, told] : m_told) {
        std::erase_if(told.open, isGone);
        std::erase_if(told.acknowledged, isGone);
    }
    for (auto &[number, query] : m_queries) {
        std::erase_if(query.open, isGone);
    }
}

std::vector<addressed_origin_message> stream_origin_exchange::tell(instant now, const stream_origin &origin)
{
    m_table.note(now, origin);
    told_origin &told = m_told[origin.stream];
    m_toldNumbers.erase(told.number);
    told.origin = origin;
    told.number = ++m_lastNumber;
    told.sends = 1;
    told.sentAt = now;
    told.isFinished = false;
    told.open.merge(told.acknowledged);
    told.acknowledged.clear();
    told.further.clear();
    for (const member *keeper : originKeepers(origin.stream, m_others, m_settings.askedEntries)) {
        told.further.push_back(keeper->peerAddress);
    }
    std::reverse(told.further.begin(), told.further.end());
    for (std::size_t i = 0; i < m_settings.keepers && !told.further.empty(); ++i) {
        told.open.insert(told.further.back());
        told.further.pop_back();
    }
    m_toldNumbers.emplace(told.number, origin.stream);
    std::vector<addressed_origin_message> sends;
    appendReports(told, sends);
    return sends;
}

void stream_origin_exchange::appendReports(const told_origin &told, std::vector<addressed_origin_message> &sends)
{
    for (const std::string &address : told.open) {
        sends.push_back({address, stream_origin_report{told.number, told.origin}});
    }
}

bool stream_origin_exchange::isKept(std::uint64_t stream) const
{
    const auto found = m_told.find(stream);
    return found != m_told.end() && (!found->second.acknowledged.empty() || found->second.open.empty());
}

bool stream_origin_exchange::isKeptByAll(std::uint64_t stream) const
{
    const auto found = m_told.find(stream);
    return found != m_told.end() && found->second.open.empty();
}

std::optional<stream_origin> stream_origin_exchange::toldOrigin(std::uint64_t stream) const
{
    const auto found = m_told.find(stream);
    return found != m_told.end() ? std::optional(found->second.origin) : std::nullopt;
}

void stream_origin_exchange::note(instant now, const stream_origin &origin)
{
    m_table.note(now, origin);
}

void stream_origin_exchange::finish(std::uint64_t stream)
{
    if (const auto found = m_told.find(stream); found != m_told.end()) {
        found->second.isFinished = true;
    }
}

std::optional<stream_origin> stream_origin_exchange::find(instant now, const sought_stream &sought) const
{
    if (auto known = m_table.find(now, sought.stream)) {
        return known;
    }
    const auto version = m_onlyVersion(sought);
    return version ? std::optional(stream_origin{sought.stream, 1, millisecondsOf(sought.window), sought.service, *version}) : std::nullopt;
}

stream_origin_query stream_origin_exchange::queryOf(std::uint32_t number, const sought_stream &sought)
{
    return {number, sought.stream, millisecondsOf(sought.window), sought.service};
}

std::uint32_t stream_origin_exchange::ask(instant now, const sought_stream &sought, std::vector<addressed_origin_message> *sends)
{
    const std::uint32_t number = ++m_lastNumber;
    open_query query;
    query.sought = sought;
    query.startedAt = now;
    for (const member *keeper : originKeepers(sought.stream, m_others, m_settings.askedEntries)) {
        query.open.insert(keeper->peerAddress);
        sends->push_back({keeper->peerAddress, queryOf(number, sought)});
    }
    m_queries.emplace(number, std::move(query));
    return number;
}

origin_effects stream_origin_exchange::onMessage(instant now, const std::string &from, const stream_origin_message &message)
{
    origin_effects effects;
    if (const auto *report = std::get_if<stream_origin_report>(&message)) {
        m_table.note(now, report->origin);
        if (report->number != 0) {
            effects.sends.push_back({from, stream_origin_ack{report->number}});
        }
    } else if (const auto *ack = std::get_if<stream_origin_ack>(&message)) {
        const auto number = m_toldNumbers.find(ack->number);
        if (number != m_toldNumbers.end()) {
            told_origin &told = m_told.at(number->second);
            if (told.open.erase(from) > 0) {
                told.acknowledged.insert(from);
            }
        }
    } else if (const auto *query = std::get_if<stream_origin_query>(&message)) {
        const auto origin = find(now, {query->stream, query->service, std::chrono::milliseconds(query->windowMs), now});
        effects.sends.push_back({from, stream_origin_reply{query->number, origin.has_value(), origin.value_or(stream_origin{})}});
    } else if (const auto *reply = std::get_if<stream_origin_reply>(&message)) {
        const auto found = m_queries.find(reply->number);
        if (found == m_queries.end() || (reply->isKnown && reply->origin.stream != found->second.sought.stream)) {
            return effects;
        }
        found->second.open.erase(from);
        if (reply->isKnown || found->second.open.empty()) {
            effects.results.push_back({reply->number, reply->isKnown ? std::optional(reply->origin) : std::nullopt});
            m_queries.erase(found);
        }
    }
    return effects;
}

origin_effects stream_origin_exchange::advance(instant now)
{
    origin_effects effects;
    std::vector<std::uint64_t> done;
    for (auto &[stream, told] : m_told) {
        const bool isDue = now - told.sentAt >= m_settings.resendInterval;
        const bool mayResend = !told.open.empty() && told.sends < m_settings.maxSends;
        if (isDue && mayResend) {
            told.sends += 1;
            told.sentAt = now;
            for (std::size_t missing = told.open.size(); missing > 0 && !told.further.empty(); --missing) {
                told.open.insert(told.further.back());
                told.further.pop_back();
            }
            appendReports(told, effects.sends);
        } else if (told.isFinished && (isDue || told.open.empty())) {
            done.push_back(stream);
        }
    }
    for (const std::uint64_t stream : done) {
        m_toldNumbers.erase(m_told.at(stream).number);
        m_told.erase(stream);
    }
    std::vector<std::uint32_t> ended;
    for (auto &[number, query] : m_queries) {
        const duration passed = now - query.startedAt;
        if (query.open.empty() || passed >= m_settings.queryTimeout) {
            ended.push_back(number);
        } else if (!query.isRepeated && 3 * passed >= m_settings.queryTimeout) {
            query.isRepeated = true;
            for (const std::string &address : query.open) {
                effects.sends.push_back({address, queryOf(number, query.sought)});
            }
        }
    }
    for (const std::uint32_t number : ended) {
        effects.results.push_back({number, std::nullopt});
        m_queries.erase(number);
    }
    m_table.expire(now);
    return effects;
}

std::vector<addressed_origin_message> stream_origin_exchange::handOver(instant now) const
{
    std::vector<addressed_origin_message> sends;
    for (const stream_origin &origin : m_table.all(now)) {
        for (const member *keeper : originKeepers(origin.stream, m_others, m_settings.keepers)) {
            sends.push_back({keeper->peerAddress, stream_origin_report{0, origin}});
        }
    }
    return sends;
}

} // namespace heatherroute
