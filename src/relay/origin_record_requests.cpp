#include "relay/origin_record_requests.h"

#include <algorithm>

namespace heatherroute
{

namespace
{

constexpr std::uint32_t kMaxDoublings = 8; ///< Of the time until a request is repeated.

} // namespace

origin_record_requests origin_record_requests::make(const origin_record_request_settings &settings)
{
    return origin_record_requests(settings);
}

origin_record_requests::origin_record_requests(const origin_record_request_settings &settings)
    : m_settings(settings)
{ }

bool origin_record_requests::add(const stream_origin &origin)
{
    if (m_open.size() >= m_settings.maxOpen) {
        return false;
    }
    open_request open;
    open.request = {++m_lastNumber, origin};
    m_open.emplace(m_lastNumber, std::move(open));
    m_numbers.insert_or_assign(origin.stream, m_lastNumber);
    return true;
}

std::vector<due_record_request> origin_record_requests::dueRequests(instant now)
{
    std::vector<due_record_request> due;
    for (auto each = m_open.begin(); each != m_open.end();) {
        const auto current = each++;
        open_request &open = current->second;
        const bool isLate = open.sends > 0 && now >= open.repeatAt;
        if (isLate && open.sends >= m_settings.maxSends) {
            close(current);
        } else if (open.isDue || isLate) {
            open.firstSentAt = open.sends == 0 ? now : open.firstSentAt;
            open.repeatAt = now + m_settings.timeout * (1 << std::min(open.sends, kMaxDoublings));
            open.sends += 1;
            open.isDue = false;
            due.push_back({open.request, open.sends});
        }
    }
    return due;
}

void origin_record_requests::repeatAll()
{
    for (auto &[number, open] : m_open) {
        open.isDue = true;
    }
}

void origin_record_requests::onAck(const origin_record_ack &ack)
{
    if (const auto found = m_open.find(ack.number); found != m_open.end() && found->second.request.origin.stream == ack.stream) {
        close(found);
    }
}

void origin_record_requests::close(open_requests::iterator request)
{
    // A later revision of the same origin may have been requested since.
    const auto number = m_numbers.find(request->second.request.origin.stream);
    if (number != m_numbers.end() && number->second == request->first) {
        m_numbers.erase(number);
    }
    m_open.erase(request);
}

bool origin_record_requests::isOpen(std::uint64_t stream) const
{
    return m_numbers.contains(stream);
}

bool origin_record_requests::isOverdue(instant now) const
{
    const auto oldest = m_open.begin();
    return oldest != m_open.end() && oldest->second.sends > 0 && now - oldest->second.firstSentAt >= m_settings.timeout;
}

} // namespace heatherroute
