#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/deadline_queue.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// Identifies a call that must run at most once.
struct idempotency_key
{
    std::string team;
    std::string service;
    std::string key; ///< The idempotency key chosen by the caller.
    auto operator<=>(const idempotency_key &) const = default;
};

/// An upstream's answer, stored for duplicates of the call.
struct stored_answer
{
    unsigned status = 0;
    std::string contentType;
    std::string body;
    bool operator==(const stored_answer &) const = default;
};

/// The state of a key when a call with it arrives.
enum class key_state {
    New, ///< The key was not known and is now claimed; the call may be sent.
    InFlight, ///< The first call with the key has no outcome yet.
    Answered, ///< The call has run and its answer is stored.
    AnswerDropped, ///< The call has run, but there was no room to store its answer.
    Unknown, ///< The call may have run.
    OtherRequest, ///< The key belongs to a different request.
    TableFull, ///< The key is not known and the table has no room for it.
};

/// Limits of an idempotency_table.
struct idempotency_limits
{
    std::size_t maxKeys = 65'536;
    std::size_t maxAnswerBytes = std::size_t{32} * 1024 * 1024; ///< Total size of the bodies of all stored answers.
    duration retention = std::chrono::minutes(10); ///< Time for which an outcome is kept after it was recorded.
    bool operator==(const idempotency_limits &) const = default;
};

/**
 * Stores the outcome of each call that must run at most once, by the idempotency key that its caller chose.
 *
 * A key is claimed before anything is sent and released only if the call certainly did not run, so a duplicate never starts a
 * second run while the key is stored. A full table rejects new keys instead of evicting a stored one early. When the limit on
 * bodies is reached, an answer is dropped but its key is kept, since it is more important to know that a call ran than what
 * it answered. Not thread safe.
 */
class idempotency_table
{
public:
    explicit idempotency_table(const idempotency_limits &limits);

    /// Claims @p key for a request with @p fingerprint if it is not known; returns the state of the key.
    key_state claim(instant now, const idempotency_key &key, std::uint64_t fingerprint);
    /// Returns the answer stored for @p key; null when there is none. Valid until the next call of a non-const member.
    const stored_answer *answer(const idempotency_key &key) const;
    /// Releases the key of a call that did not run. Precondition: the call is in flight.
    void release(const idempotency_key &key);
    /// Records the answer to a call. Precondition: the call is in flight.
    void recordAnswer(instant now, const idempotency_key &key, stored_answer answer);
    /// Records that a call has ended and may have run. Precondition: the call is in flight.
    void recordUnknown(instant now, const idempotency_key &key);
    /// Returns the number of stored keys.
    std::size_t size() const noexcept;

private:
    struct entry
    {
        std::uint64_t fingerprint = 0;
        key_state state = key_state::InFlight;
        std::optional<stored_answer> answer;
    };

    void removeExpired(instant now);
    entry &inFlight(const idempotency_key &key);

    idempotency_limits m_limits;
    std::map<idempotency_key, entry> m_entries;
    deadline_queue<idempotency_key> m_expiry;
    std::size_t m_answerBytes = 0;
};

} // namespace heatherroute
