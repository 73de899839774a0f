#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heatherroute::net
{

/**
 * Incremental parser for a stream of server-sent events, which extracts the data of each event.
 *
 * Only the field "data" is used; all others are ignored. See the HTML standard, section "Server-sent events". Not thread safe.
 */
class event_stream_parser
{
public:
    /// Parses the next @p piece of the stream and returns the data of the events that it completes.
    std::vector<std::string> feed(std::string_view piece);
    /// The number of bytes buffered for the incomplete event.
    std::size_t pendingBytes() const noexcept;

private:
    void processLine(std::string_view line, std::vector<std::string> &complete);

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
};

/**
 * Follows a stream of server-sent events and tells whether it has reached the end of an event.
 *
 * Keeps no bytes. Lines end with LF, CR or CRLF and an empty line ends an event, see the HTML standard, section "Server-sent events". Not
 * thread safe.
 */
class event_boundary_tracker
{
public:
    /// Processes the next @p piece of the stream.
    void feed(std::string_view piece) noexcept;
    /// The number of complete events.
    std::uint64_t events() const noexcept
    {
        return m_events;
    }
    /// Whether the stream has begun an event, or a comment, that isn't complete.
    bool isInsideEvent() const noexcept
    {
        return m_hasFields || m_line != line_state::Start;
    }

private:
    enum class line_state : std::uint8_t {
        Start,
        Field,
        Comment,
    };

    void endLine() noexcept;

    line_state m_line = line_state::Start;
    bool m_hasFields = false; ///< The current event has complete lines.
    bool m_afterReturn = false; ///< The last line ended with CR, so an LF that follows belongs to its end.
    std::uint64_t m_events = 0;
};

/// Formats an event with @p data for sending. Precondition: @p data contains no line break.
std::string formatEvent(std::string_view data);

} // namespace heatherroute::net
