#include "relay/stream_end.h"

namespace heatherroute
{

std::string_view faultOf(const received_stream &stream) noexcept
{
    if (stream.endsInsideEvent) {
        return "ended_inside_event";
    }
    if (stream.framing == net::body_framing::ConnectionClose && stream.events == 0) {
        return "ended_without_event";
    }
    return {};
}

} // namespace heatherroute
