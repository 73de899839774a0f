#pragma once

#include <optional>

#include "heatherroute/time.h"

namespace heatherroute
{

/**
 * Tells when an answer in progress speaks for the parts of its prompt.
 *
 * Parts that crash engines do so as the answer begins, so an engine that goes on writing shows that its prompt has none. Not thread safe.
 */
class answer_progress
{
public:
    /// Records that a piece of the answer has arrived. Returns whether it has been written for a second since the first piece, or since this
    /// last returned true. Precondition: @p now doesn't decrease.
    bool notePiece(instant now)
    {
        if (!m_since) {
            m_since = now;
            return false;
        }
        if (now - *m_since < kWritingTime) {
            return false;
        }
        m_since = now;
        return true;
    }

private:
    static constexpr duration kWritingTime = std::chrono::seconds(1);

    std::optional<instant> m_since;
};

} // namespace heatherroute
