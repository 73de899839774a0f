#include "net/event_stream.h"

#include <algorithm>

namespace heatherroute::net
{

std::vector<std::string> event_stream_parser::feed(std::string_view piece)
{
    std::vector<std::string> complete;
    while (!piece.empty()) {
        const auto end = piece.find('\n');
        if (end == std::string_view::npos) {
            m_line.append(piece);
            break;
        }
        m_line.append(piece.substr(0, end));
        processLine(m_line, complete);
        m_line.clear();
        piece.remove_prefix(end + 1);
    }
    return complete;
}

std::size_t event_stream_parser::pendingBytes() const noexcept
{
    return m_line.size() + m_data.size();
}

void event_stream_parser::processLine(std::string_view line, std::vector<std::string> &complete)
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        if (m_hasData) {
            complete.push_back(std::move(m_data));
        }
        m_data.clear();
        m_hasData = false;
        return;
    }
    constexpr std::string_view kField = "data:";
    if (!line.starts_with(kField)) {
        return;
    }
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    if (m_hasData) {
        m_data += '\n';
    }
    m_data.append(line);
    m_hasData = true;
}

void event_boundary_tracker::feed(std::string_view piece) noexcept
{
    while (!piece.empty()) {
        if (m_afterReturn) {
            m_afterReturn = false;
            if (piece.front() == '\n') {
                piece.remove_prefix(1);
                continue;
            }
        }
        const auto end = std::find_if(piece.begin(), piece.end(), [](char c) { return c == '\n' || c == '\r'; });
        if (end != piece.begin() && m_line == line_state::Start) {
            m_line = piece.front() == ':' ? line_state::Comment : line_state::Field;
        }
        if (end == piece.end()) {
            return;
        }
        m_afterReturn = *end == '\r';
        piece.remove_prefix(static_cast<std::size_t>(end - piece.begin()) + 1);
        endLine();
    }
}

void event_boundary_tracker::endLine() noexcept
{
    if (m_line == line_state::Start) {
        m_events += m_hasFields ? 1 : 0;
        m_hasFields = false;
    } else if (m_line == line_state::Field) {
        m_hasFields = true;
    }
    m_line = line_state::Start;
}

std::string formatEvent(std::string_view data)
{
    std::string event = "data: ";
    event.append(data);
    event += "\n\n";
    return event;
}

} // namespace heatherroute::net
