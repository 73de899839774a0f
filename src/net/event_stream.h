#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace heatherroute::net
{

/**
 * Splits a body of server-sent events into the data of each event, as its pieces arrive.
 *
 * Only the fields "data" and "event" count; see the HTML standard, section "Server-sent events". Not thread safe.
 */
class event_stream_parser
{
public:
    /// Takes @p piece in and returns the data of the events that are now complete.
    std::vector<std::string> feed(std::string_view piece);
    /// The bytes held of an event that is not complete.
    std::size_t pendingBytes() const noexcept;

private:
    void takeLine(std::string_view line, std::vector<std::string> &complete);

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
};

/// One event with @p data, ready to be written. Precondition: @p data has no line break.
std::string formatEvent(std::string_view data);

} // namespace heatherroute::net
