#include "control/config_reader.h"

#include <utility>

#include "control/blocking_call.h"
#include "net/http_status.h"
#include "node/core_time.h"
#include "node/log_answer.h"

namespace heatherroute::control
{

namespace
{

constexpr std::chrono::milliseconds kReadWait{200};

} // namespace

std::unique_ptr<config_reader> config_reader::make(stream_location location, last_reason *reason)
{
    auto replica = config_replica::make(replica_settings{}, 0, reason);
    if (!replica) {
        return nullptr;
    }
    std::unique_ptr<config_reader> reader(new config_reader(std::move(location), std::move(replica)));
    bool atEnd = false;
    while (!atEnd) {
        if (!reader->readOnce(std::chrono::milliseconds(0), &atEnd, reason)) {
            return nullptr;
        }
    }
    return reader;
}

config_reader::config_reader(stream_location location, std::unique_ptr<config_replica> replica)
    : m_location(std::move(location))
    , m_replica(std::move(replica))
{ }

const config_state &config_reader::state() const
{
    return m_replica->state();
}

bool config_reader::append(const std::string &record, last_reason *reason)
{
    net::http_call call;
    call.endpoint = m_location.log;
    call.target = node::appendTarget(m_location.stream);
    call.body = node::appendBody(record);
    const net::http_result result = callAndWait(std::move(call));
    if (!result.answer) {
        setReason(reason, result.failure.reason);
        return false;
    }
    if (result.answer->status >= net::status::kFirstRedirect) {
        setReason(reason, "the log service responded with status " + std::to_string(result.answer->status));
        return false;
    }
    return true;
}

std::optional<publish_result> config_reader::awaitDecision(const std::string &publishId, std::chrono::milliseconds limit, last_reason *reason)
{
    const instant deadline = node::coreNow() + limit;
    while (true) {
        const publish_result *decided = state().decisionOn(publishId);
        if (decided != nullptr) {
            return *decided;
        }
        if (node::coreNow() >= deadline) {
            setReason(reason, "the record did not appear in the log in time");
            return std::nullopt;
        }
        bool atEnd = false;
        if (!readOnce(kReadWait, &atEnd, reason)) {
            return std::nullopt;
        }
    }
}

bool config_reader::readOnce(std::chrono::milliseconds wait, bool *atEnd, last_reason *reason)
{
    net::http_call call;
    call.endpoint = m_location.log;
    call.method = "GET";
    call.target = node::readTarget(m_location.stream, m_replica->readFrom(), wait);
    const instant requestedAt = node::coreNow();
    const core_event outcome = node::parseReadResult(requestedAt, callAndWait(std::move(call)));
    if (const auto *read = std::get_if<log_read>(&outcome)) {
        m_replica->onLogRead(read->requestedAt, node::coreNow(), read->batch);
        *atEnd = m_replica->readFrom() >= read->batch.next;
        return true;
    }
    if (const auto *truncated = std::get_if<log_truncated>(&outcome)) {
        m_replica->onLogTruncated(node::coreNow(), truncated->oldest);
        return true;
    }
    if (const auto *unavailable = std::get_if<log_unavailable>(&outcome)) {
        setReason(reason, unavailable->reason);
    }
    return false;
}

} // namespace heatherroute::control
