#pragma once

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

/// Formats an event with @p data for sending. Precondition: @p data contains no line break.
std::string formatEvent(std::string_view data);

} // namespace heatherroute::net
