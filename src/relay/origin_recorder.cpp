#include "relay/origin_recorder.h"

#include <algorithm>
#include <utility>

#include "heatherroute/ownership.h"
#include "relay/origin_record.h"
#include "relay/store_gossip.h"

namespace heatherroute
{

origin_recorder origin_recorder::make(const origin_recorder_settings &settings, const std::string &entryName)
{
    return {settings, entryName};
}

origin_recorder::origin_recorder(const origin_recorder_settings &settings, const std::string &entryName)
    : m_settings(settings)
{
    m_self.id.name = entryName;
    m_self.state = member_state::Alive;
}

void origin_recorder::setMembers(const std::vector<member> &others)
{
    std::vector<member> all = others;
    all.push_back(m_self);
    std::erase_if(all, [](const member &one) { return !canOwn(one.state); });
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(std::min(m_settings.recorders, all.size()));
    std::partial_sort(all.begin(), end, all.end(), [](const member &left, const member &right) { return precedesInReading(left.id.name, right.id.name); });
    m_isRecorder = false;
    m_recorders.clear();
    for (auto recorder = all.begin(); recorder != end; ++recorder) {
        if (recorder->id.name == m_self.id.name) {
            m_isRecorder = true;
        } else {
            m_recorders.push_back(recorder->peerAddress);
        }
    }
}

void origin_recorder::add(const stream_origin &origin)
{
    if (m_isRecorder) {
        keep(origin);
    }
    if (!m_recorders.empty() && m_unsent.size() < m_settings.maxWaiting) {
        m_unsent.push_back(origin);
    }
}

void origin_recorder::onBatch(const stream_origin_batch &batch)
{
    // The sender may know other members, so that it is recorded here even if this entry would send it elsewhere.
    for (const stream_origin &origin : batch.origins) {
        keep(origin);
    }
}

void origin_recorder::keep(const stream_origin &origin)
{
    if (m_unrecorded.size() < m_settings.maxWaiting) {
        m_unrecorded.push_back(origin);
    }
}

std::vector<addressed_origin_message> origin_recorder::dueMessages()
{
    std::vector<stream_origin_batch> batches;
    for (stream_origin &origin : m_unsent) {
        if (batches.empty() || batches.back().origins.size() == kMaxOriginsPerBatch) {
            batches.emplace_back();
        }
        batches.back().origins.push_back(std::move(origin));
    }
    m_unsent.clear();
    std::vector<addressed_origin_message> messages;
    for (const std::string &address : m_recorders) {
        for (const stream_origin_batch &batch : batches) {
            messages.push_back({address, batch});
        }
    }
    return messages;
}

std::vector<stream_origin> origin_recorder::dueRecord(instant now)
{
    if (m_unrecorded.empty() || (m_recordedAt && now - *m_recordedAt < m_settings.recordInterval)) {
        return {};
    }
    m_recordedAt = now;
    const auto end = m_unrecorded.begin() + static_cast<std::ptrdiff_t>(std::min(m_unrecorded.size(), kMaxOriginsPerRecord));
    std::vector<stream_origin> due(std::make_move_iterator(m_unrecorded.begin()), std::make_move_iterator(end));
    m_unrecorded.erase(m_unrecorded.begin(), end);
    return due;
}

} // namespace heatherroute
