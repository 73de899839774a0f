#include "relay/stream_writers.h"

#include <algorithm>
#include <set>
#include <utility>

namespace heatherroute
{

stream_writers stream_writers::make(const stream_writers_settings &settings)
{
    return stream_writers(settings);
}

stream_writers::stream_writers(const stream_writers_settings &settings)
    : m_settings(settings)
{ }

void stream_writers::begin(const stream_origin &origin, const upstream_instance &instance, bool isConfirmed)
{
    m_writers.insert_or_assign(origin.stream, stream_writer{instance, origin, origin.version, isConfirmed, std::nullopt, std::nullopt});
}

std::optional<stream_origin> stream_writers::notePart(instant now, std::uint64_t stream)
{
    const auto found = m_writers.find(stream);
    if (found == m_writers.end()) {
        return std::nullopt;
    }
    stream_writer &writer = found->second;
    const bool isFirst = !writer.begunAt;
    writer.begunAt = writer.begunAt.value_or(now);
    // An instance that only the engine itself has confirmed may have been replaced before the request reached it.
    if (isShown(writer)) {
        m_shownAt.insert_or_assign(writer.instance, now);
    }
    return isFirst && !writer.origin.version.empty() ? std::optional(writer.origin) : std::nullopt;
}

bool stream_writers::isShown(const stream_writer &writer) const
{
    if (!writer.begunAt) {
        return false;
    }
    const auto shown = m_shownAt.find(writer.instance);
    return (m_listAt && *m_listAt >= *writer.begunAt) || (shown != m_shownAt.end() && shown->second >= *writer.begunAt);
}

void stream_writers::noteList(instant at)
{
    m_listAt = std::max(m_listAt.value_or(at), at);
}

stream_origin stream_writers::changed(stream_writer &writer, std::string version)
{
    writer.origin.revision += 1;
    writer.origin.version = std::move(version);
    return writer.origin;
}

std::vector<stream_origin> stream_writers::noteInstance(const registration &run)
{
    std::vector<stream_origin> origins;
    for (auto each = m_writers.begin(); each != m_writers.end();) {
        stream_writer &writer = each->second;
        const bool isReplaced = writer.instance.id == run.id && writer.instance.startedAt < run.startedAt && writer.version != run.softwareVersion;
        if (!isReplaced || isShown(writer)) {
            ++each;
            continue;
        }
        if (!writer.origin.version.empty()) {
            origins.push_back(changed(writer, {}));
        }
        each = writer.forgetAt ? m_writers.erase(each) : std::next(each);
    }
    return origins;
}

std::optional<stream_origin> stream_writers::end(instant now, std::uint64_t stream, bool isComplete)
{
    const auto found = m_writers.find(stream);
    if (found == m_writers.end() || found->second.forgetAt) {
        return std::nullopt;
    }
    stream_writer &writer = found->second;
    // A stream without any part can't be taken up, and an origin that is unknown already stays so.
    if (!writer.begunAt || isCertain(writer) || writer.origin.version.empty()) {
        m_writers.erase(found);
        return std::nullopt;
    }
    writer.forgetAt = now + std::min<duration>(std::chrono::milliseconds(writer.origin.lifeMs), m_settings.maxLife);
    return isComplete ? std::nullopt : std::optional(changed(writer, {}));
}

std::vector<stream_origin> stream_writers::advance(instant now)
{
    std::vector<stream_origin> origins;
    std::set<upstream_instance> writing;
    for (auto each = m_writers.begin(); each != m_writers.end();) {
        stream_writer &writer = each->second;
        const bool hasEnded = writer.forgetAt.has_value();
        if (hasEnded && isCertain(writer) && writer.origin.version.empty()) {
            origins.push_back(changed(writer, writer.version));
        }
        if (hasEnded && (isCertain(writer) || *writer.forgetAt <= now)) {
            each = m_writers.erase(each);
            continue;
        }
        writing.insert(writer.instance);
        ++each;
    }
    std::erase_if(m_shownAt, [&writing](const auto &shown) { return !writing.contains(shown.first); });
    return origins;
}

bool stream_writers::isWriting(std::uint64_t stream) const
{
    const auto found = m_writers.find(stream);
    return found != m_writers.end() && !found->second.forgetAt;
}

std::vector<stream_origin> stream_writers::begun() const
{
    std::vector<stream_origin> origins;
    for (const auto &[stream, writer] : m_writers) {
        if (writer.begunAt) {
            origins.push_back(writer.origin);
        }
    }
    return origins;
}

} // namespace heatherroute
