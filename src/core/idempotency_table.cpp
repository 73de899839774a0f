#include "core/idempotency_table.h"

#include <utility>

#include "heatherroute/assert.h"

namespace heatherroute
{

idempotency_table::idempotency_table(const idempotency_limits &limits)
    : m_limits(limits)
{ }

key_state idempotency_table::claim(instant now, const idempotency_key &key, std::uint64_t fingerprint)
{
    removeExpired(now);
    const auto found = m_entries.find(key);
    if (found != m_entries.end()) {
        return found->second.fingerprint == fingerprint ? found->second.state : key_state::OtherRequest;
    }
    if (m_entries.size() >= m_limits.maxKeys) {
        return key_state::TableFull;
    }
    m_entries[key].fingerprint = fingerprint;
    return key_state::New;
}

const stored_answer *idempotency_table::answer(const idempotency_key &key) const
{
    const auto found = m_entries.find(key);
    return found != m_entries.end() && found->second.answer ? &*found->second.answer : nullptr;
}

void idempotency_table::release(const idempotency_key &key)
{
    inFlight(key);
    m_entries.erase(key);
}

void idempotency_table::recordAnswer(instant now, const idempotency_key &key, stored_answer answer)
{
    entry &known = inFlight(key);
    m_expiry.set(key, now + m_limits.retention);
    if (m_answerBytes + answer.body.size() > m_limits.maxAnswerBytes) {
        known.state = key_state::AnswerDropped;
        return;
    }
    m_answerBytes += answer.body.size();
    known.state = key_state::Answered;
    known.answer = std::move(answer);
}

void idempotency_table::recordUnknown(instant now, const idempotency_key &key)
{
    inFlight(key).state = key_state::Unknown;
    m_expiry.set(key, now + m_limits.retention);
}

std::size_t idempotency_table::size() const noexcept
{
    return m_entries.size();
}

void idempotency_table::removeExpired(instant now)
{
    for (const idempotency_key &key : m_expiry.takeDue(now)) {
        const auto found = m_entries.find(key);
        m_answerBytes -= found->second.answer ? found->second.answer->body.size() : 0;
        m_entries.erase(found);
    }
}

idempotency_table::entry &idempotency_table::inFlight(const idempotency_key &key)
{
    const auto found = m_entries.find(key);
    HR_INVARIANT("a booking runs at most once", found != m_entries.end() && found->second.state == key_state::InFlight);
    return found->second;
}

} // namespace heatherroute
