#include "standins/platform_model.h"

#include "heatherroute/assert.h"

#include <algorithm>
#include <utility>

namespace heatherroute::standins
{

bool log_model::admitAppend(instant now)
{
    while (!m_recentAppends.empty() && m_recentAppends.front() <= now - std::chrono::seconds(1)) {
        m_recentAppends.pop_front();
    }
    if (m_settings.appendsPerSecond != 0 && m_recentAppends.size() >= m_settings.appendsPerSecond) {
        return false;
    }
    m_recentAppends.push_back(now);
    return true;
}

append_result log_model::append(instant now, const std::string &stream, std::vector<std::string> records)
{
    HR_ASSERT(records.size() <= m_settings.recordsPerAppend);
    stream_state &state = m_streams[stream];
    append_result result;
    result.first = state.next;
    for (auto &data : records) {
        state.records.push_back({state.next++, std::move(data), now});
    }
    result.next = state.next;
    applyRetention(now, state);
    return result;
}

std::uint64_t log_model::oldest(instant now, const std::string &stream)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return 0;
    }
    applyRetention(now, found->second);
    return found->second.next - found->second.records.size();
}

std::uint64_t log_model::next(const std::string &stream) const
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? 0 : found->second.next;
}

std::optional<std::vector<log_record>> log_model::read(instant now, const std::string &stream, std::uint64_t from, std::size_t max)
{
    const std::uint64_t first = oldest(now, stream);
    if (from < first) {
        return std::nullopt;
    }
    std::vector<log_record> result;
    const std::uint64_t end = next(stream);
    for (std::uint64_t offset = from; offset < end && result.size() < max; ++offset) {
        result.push_back(m_streams[stream].records[offset - first]);
    }
    return result;
}

void log_model::truncate(const std::string &stream, std::size_t keep)
{
    auto &records = m_streams[stream].records;
    while (records.size() > keep) {
        records.pop_front();
    }
}

std::vector<std::string> log_model::streams() const
{
    std::vector<std::string> names;
    for (const auto &[name, state] : m_streams) {
        names.push_back(name);
    }
    return names;
}

void log_model::applyRetention(instant now, stream_state &stream) const
{
    auto &records = stream.records;
    while (!records.empty() && (records.size() > m_settings.retentionRecords || records.front().at <= now - m_settings.retentionAge)) {
        records.pop_front();
    }
}

} // namespace heatherroute::standins
