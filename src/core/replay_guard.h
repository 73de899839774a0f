#pragma once

#include "heatherroute/member.h"

#include <bitset>
#include <list>
#include <map>

namespace heatherroute
{

/**
 * Detects duplicate datagrams.
 *
 * Networks duplicate and delay packets; processing an old acknowledgement or update as a new one would distort failure
 * detection. Keeps a sliding window of sequence numbers per sender, as in RFC 4303 (appendix A), for a bounded number of
 * senders; the least recently active sender is evicted. Not thread safe.
 */
class replay_guard
{
public:
    /// Precondition: @p maxSenders is positive.
    explicit replay_guard(std::size_t maxSenders);

    /// Returns true and remembers @p sequence when it is new for @p sender; false when it was seen before or lies before the
    /// window.
    bool accept(const member_id &sender, std::uint64_t sequence);

private:
    static constexpr std::size_t kWindow = 1024;
    struct window
    {
        std::uint64_t highest = 0;
        std::bitset<kWindow> seen; // Bit i stands for sequence highest - i.
        std::list<member_id>::iterator recency;
    };
    window &windowOf(const member_id &sender);

    std::size_t m_maxSenders;
    std::map<member_id, window> m_windows;
    std::list<member_id> m_recency; // The most recently active sender comes first.
};

} // namespace heatherroute
