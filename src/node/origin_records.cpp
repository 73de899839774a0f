#include "node/origin_records.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>
#include <variant>

#include "node/core_time.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

/// From the first event of a stream until a record that isn't urgent is in the store, if that answers.
constexpr std::chrono::seconds kMaxBatchTime{1};
/// A caller may come back with a stream that began this long ago, whatever the life of its origin.
constexpr duration kMinResumeWindow = std::chrono::seconds(30);

} // namespace

origin_records::origin_records(asio::any_io_executor executor, origin_records_hooks hooks, const std::string &entryName)
    : m_executor(std::move(executor))
    , m_hooks(std::move(hooks))
    , m_recorder(origin_recorder::make({}, entryName))
    , m_requests(origin_record_requests::make({}))
    , m_recordTimer(m_executor)
{ }

void origin_records::addBegun(const stream_origin &origin, bool isResumable)
{
    if (isResumable && isUrgent(origin)) {
        request(origin);
        return;
    }
    addToBatch(origin);
    if (isResumable) {
        m_batched.push_back({coreNow(), origin});
    }
}

void origin_records::addAgain(const stream_origin &origin)
{
    if (isUrgent(origin)) {
        request(origin);
    } else {
        addToBatch(origin);
    }
}

bool origin_records::isUrgent(const stream_origin &origin) const
{
    return m_hooks.hasSeveralVersions(origin.service, std::max<duration>(kMinResumeWindow, std::chrono::milliseconds(origin.lifeMs)));
}

void origin_records::request(const stream_origin &origin)
{
    if (!m_requests.add(origin)) {
        addToBatch(origin);
    }
    sendRequests();
}

void origin_records::addToBatch(const stream_origin &origin)
{
    m_recorder.add(origin);
    noteUnrecorded();
}

void origin_records::requestLate()
{
    const instant now = coreNow();
    while (!m_batched.empty() && now - m_batched.front().begunAt >= kMaxBatchTime) {
        m_batched.pop_front();
    }
    std::erase_if(m_batched, [this](const batched_origin &one) {
        const bool isLate = isUrgent(one.origin);
        if (isLate) {
            m_requests.add(one.origin);
        }
        return isLate;
    });
}

void origin_records::sendRequests()
{
    for (const auto &[request, sends] : m_requests.dueRequests(coreNow())) {
        send(m_recorder.requestMessages(request));
        if (m_recorder.isRecorder()) {
            m_recorder.onRequest(coreNow(), {}, request);
        }
        // Recorders of earlier builds know batches only.
        if (sends == 2) {
            m_recorder.add(request.origin);
        }
    }
    recordDue();
}

void origin_records::recordDue()
{
    noteUnrecorded();
    const instant now = coreNow();
    if (std::vector<stream_origin> due = m_recorder.dueRecord(now); !due.empty()) {
        const instant since = std::exchange(m_unrecordedSince, std::nullopt).value_or(now);
        noteUnrecorded();
        m_hooks.record(std::move(due), now - since);
    }
    const std::optional<instant> dueAt = m_recorder.recordDueAt();
    if (!dueAt) {
        return;
    }
    m_recordTimer.expires_after(std::max(*dueAt - now, duration::zero()));
    m_recordTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            recordDue();
        }
    });
}

void origin_records::noteUnrecorded()
{
    if (m_recorder.hasUnrecorded()) {
        m_unrecordedSince = m_unrecordedSince.value_or(coreNow());
    }
}

asio::awaitable<void> origin_records::waitUntilRecorded(std::uint64_t stream, duration maxWait)
{
    if (!m_requests.isOpen(stream)) {
        co_return;
    }
    const instant begin = coreNow();
    const bool isAwaited = !m_requests.isOverdue(begin);
    asio::steady_timer timer(m_executor);
    while (isAwaited && m_requests.isOpen(stream) && coreNow() - begin < maxWait) {
        timer.expires_after(maxWait - (coreNow() - begin));
        m_waits.insert(&timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_waits.erase(&timer);
    }
    if (!isAwaited) {
        m_hooks.count("not_awaited");
    } else {
        m_hooks.count(m_requests.isOpen(stream) ? "late" : "recorded");
    }
}

void origin_records::onRecorded()
{
    for (const origin_requester &requester : m_recorder.onRecorded()) {
        if (requester.peerAddress.empty()) {
            onAck(requester.ack);
        } else {
            m_hooks.send(requester.ack, requester.peerAddress);
        }
    }
    recordDue();
}

void origin_records::onAck(const origin_record_ack &ack)
{
    m_requests.onAck(ack);
    for (asio::steady_timer *timer : m_waits) {
        timer->cancel();
    }
}

void origin_records::setMembers(const std::vector<member> &others)
{
    if (m_recorder.setMembers(others)) {
        m_requests.repeatAll();
        sendRequests();
    }
}

bool origin_records::onMessage(const std::string &from, const stream_origin_message &message)
{
    if (const auto *batch = std::get_if<stream_origin_batch>(&message)) {
        m_recorder.onBatch(*batch);
        noteUnrecorded();
    } else if (const auto *request = std::get_if<origin_record_request>(&message)) {
        m_recorder.onRequest(coreNow(), from, *request);
        recordDue();
    } else if (const auto *ack = std::get_if<origin_record_ack>(&message)) {
        onAck(*ack);
    } else {
        return false;
    }
    return true;
}

void origin_records::advance()
{
    send(m_recorder.dueMessages());
    requestLate();
    sendRequests();
}

void origin_records::send(std::vector<addressed_origin_message> messages)
{
    for (addressed_origin_message &each : messages) {
        m_hooks.send(std::move(each.message), std::move(each.peerAddress));
    }
}

} // namespace heatherroute::node
