#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "net/http_server.h"

namespace heatherroute
{

/// What has arrived of a stream of events when its body has ended in order.
struct received_stream
{
    net::body_framing framing = net::body_framing::Chunks;
    std::uint64_t events = 0; ///< Complete ones.
    bool endsInsideEvent = false;
    auto operator<=>(const received_stream &) const = default;
};

/**
 * Returns why @p stream was broken off although its body has ended in order; empty when it is complete.
 *
 * The end of a connection also ends a body without length and chunks, whatever is missing, so the events have to tell: a stream is
 * complete only between two events. This holds for other framings as well, since an intermediary may have framed a broken stream
 * anew. Without a single event, a body that ends with its connection tells nothing and counts as broken off. Thread safe.
 */
std::string_view faultOf(const received_stream &stream) noexcept;

} // namespace heatherroute
