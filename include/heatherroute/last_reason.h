#pragma once

#include <string>
#include <utility>

namespace heatherroute
{

/**
 * The error message of a failed call that returned an empty optional or a null pointer.
 *
 * Passed by pointer to factories. A null pointer means that the caller does not need the message. Not thread safe.
 */
class last_reason
{
public:
    /// Stores @p text and replaces an earlier message.
    void set(std::string text)
    {
        m_text = std::move(text);
    }

    /// Returns the stored message; empty when nothing failed.
    const std::string &text() const noexcept
    {
        return m_text;
    }

private:
    std::string m_text;
};

/// Stores @p text in @p reason unless that is null.
inline void setReason(last_reason *reason, std::string text)
{
    if (reason != nullptr) {
        reason->set(std::move(text));
    }
}

} // namespace heatherroute
