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

/// What names one call that must run at most once.
struct idempotency_key
{
    std::string team;
    std::string service;
    std::string key; ///< As the caller chose it.
    auto operator<=>(const idempotency_key &) const = default;
};

/// An upstream's answer, kept for repeats.
struct kept_answer
{
    unsigned status = 0;
    std::string contentType;
    std::string body;
    bool operator==(const kept_answer &) const = default;
};

/// What is known of a key when a call with it arrives.
enum class key_state {
    New, ///< The call may be sent; the key is now taken.
    InFlight, ///< The first call with it has no outcome yet.
    Answered, ///< It ran and its answer is kept.
    AnswerDropped, ///< It ran; its answer was too long to be kept.
    Unknown, ///< It may have run.
    OtherRequest, ///< The key belongs to a different request.
    TableFull, ///< Nothing is known and nothing more can be remembered.
};

/// Limits of an idempotency_table.
struct idempotency_limits
{
    std::size_t keys = 65'536;
    std::size_t answerBytes = std::size_t{32} * 1024 * 1024; ///< Bodies of all kept answers.
    duration keep = std::chrono::minutes(10); ///< How long an outcome is known after it was recorded.
    bool operator==(const idempotency_limits &) const = default;
};

/**
 * Remembers the outcome of each call that must run at most once, under the key its caller chose.
 *
 * A key is taken before anything is sent and released only if the call certainly did not run, so a repeat never starts a
 * second run while the first is known. A full table refuses new keys instead of forgetting a known one early. Bodies are
 * dropped before keys: that a call ran matters more than what it answered. Not thread safe.
 */
class idempotency_table
{
public:
    explicit idempotency_table(const idempotency_limits &limits);

    /// Takes @p key for a request with @p fingerprint unless it is known.
    key_state claim(instant now, const idempotency_key &key, std::uint64_t fingerprint);
    /// The answer kept for @p key; null when there is none. Valid until the next call of another member.
    const kept_answer *answer(const idempotency_key &key) const;
    /// The call did not run: its key is free again. Precondition: it is in flight.
    void release(const idempotency_key &key);
    /// The call was answered. Precondition: it is in flight.
    void recordAnswer(instant now, const idempotency_key &key, kept_answer answer);
    /// The call has ended and may have run. Precondition: it is in flight.
    void recordUnknown(instant now, const idempotency_key &key);
    /// The number of keys known.
    std::size_t size() const noexcept;

private:
    struct entry
    {
        std::uint64_t fingerprint = 0;
        key_state state = key_state::InFlight;
        std::optional<kept_answer> answer;
    };

    void forgetOld(instant now);
    entry &inFlight(const idempotency_key &key);

    idempotency_limits m_limits;
    std::map<idempotency_key, entry> m_entries;
    deadline_queue<idempotency_key> m_expiry;
    std::size_t m_answerBytes = 0;
};

} // namespace heatherroute
