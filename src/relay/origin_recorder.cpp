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

bool origin_recorder::setMembers(const std::vector<member> &others)
{
    std::vector<member> all = others;
    all.push_back(m_self);
    std::erase_if(all, [](const member &one) { return !canOwn(one.state); });
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(std::min(m_settings.recorders, all.size()));
    std::partial_sort(all.begin(), end, all.end(), [](const member &left, const member &right) { return precedesInReading(left.id.name, right.id.name); });
    const std::vector<std::string> before = std::exchange(m_recorders, {});
    m_isRecorder = false;
    for (auto recorder = all.begin(); recorder != end; ++recorder) {
        if (recorder->id.name == m_self.id.name) {
            m_isRecorder = true;
            m_turn = static_cast<std::size_t>(recorder - all.begin());
        } else {
            m_recorders.push_back(recorder->peerAddress);
        }
    }
    return m_recorders != before;
}

void origin_recorder::add(const stream_origin &origin)
{
    if (m_isRecorder) {
        keep({origin, std::nullopt});
    }
    if (!m_recorders.empty() && m_unsent.size() < m_settings.maxWaiting) {
        m_unsent.push_back(origin);
    }
}

void origin_recorder::onBatch(const stream_origin_batch &batch)
{
    // The sender may know other members, so that it is recorded here even if this entry would send it elsewhere.
    for (const stream_origin &origin : batch.origins) {
        keep({origin, std::nullopt});
    }
}

void origin_recorder::onRequest(instant now, const std::string &peerAddress, const origin_record_request &request)
{
    origin_requester requester{peerAddress, {request.number, request.origin.stream}};
    if (m_openRequests.insert(requester).second) {
        keep({request.origin, std::move(requester)});
        m_requestedAt = m_requestedAt.value_or(now);
    }
}

void origin_recorder::keep(unrecorded_origin origin)
{
    if (m_unrecorded.size() >= m_settings.maxWaiting) {
        if (m_unrecorded.front().requester) {
            m_openRequests.erase(*m_unrecorded.front().requester);
        }
        m_unrecorded.pop_front();
    }
    m_unrecorded.push_back(std::move(origin));
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

std::vector<addressed_origin_message> origin_recorder::requestMessages(const origin_record_request &request) const
{
    std::vector<addressed_origin_message> messages;
    for (const std::string &address : m_recorders) {
        messages.push_back({address, request});
    }
    return messages;
}

std::optional<instant> origin_recorder::recordDueAt() const
{
    if (m_unrecorded.empty() || m_isRecording) {
        return std::nullopt;
    }
    const duration interval = m_requestedAt ? m_settings.requestedInterval : m_settings.recordInterval;
    const instant afterLast = m_recordedAt ? *m_recordedAt + interval : instant{};
    if (!m_requestedAt) {
        return afterLast;
    }
    const duration turn = m_settings.requestedInterval * static_cast<std::int64_t>(m_turn) / static_cast<std::int64_t>(m_settings.recorders);
    return std::max(afterLast, *m_requestedAt + turn);
}

std::vector<stream_origin> origin_recorder::dueRecord(instant now)
{
    const std::optional<instant> dueAt = recordDueAt();
    if (!dueAt || now < *dueAt) {
        return {};
    }
    m_recordedAt = now;
    m_isRecording = true;
    std::vector<stream_origin> due;
    while (!m_unrecorded.empty() && due.size() < kMaxOriginsPerRecord) {
        unrecorded_origin &first = m_unrecorded.front();
        if (first.requester) {
            m_beingMet.push_back(std::move(*first.requester));
        }
        due.push_back(std::move(first.origin));
        m_unrecorded.pop_front();
    }
    m_requestedAt = m_openRequests.size() > m_beingMet.size() ? m_requestedAt : std::nullopt;
    return due;
}

std::vector<origin_requester> origin_recorder::onRecorded()
{
    m_isRecording = false;
    for (const origin_requester &requester : m_beingMet) {
        m_openRequests.erase(requester);
    }
    return std::exchange(m_beingMet, {});
}

} // namespace heatherroute
