#pragma once

#include <string>
#include <utility>

namespace heatherroute
{

/**
 * Why the last call that returned an empty optional failed.
 *
 * Passed by pointer to factories; a null pointer means the caller does not want the text. Not thread safe.
 */
class last_reason
{
public:
    /// Stores @p text; replaces what was stored before.
    void set(std::string text)
    {
        m_text = std::move(text);
    }

    /// The stored text; empty when nothing failed.
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
