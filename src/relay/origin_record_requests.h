#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "heatherroute/stream_origin_message.h"
#include "heatherroute/time.h"

namespace heatherroute
{

/// Settings of an origin_record_requests.
struct origin_record_request_settings
{
    /// After which a request is repeated; the interval doubles each time. The recorders count as unavailable while a request is older than this.
    duration timeout = std::chrono::milliseconds(300);
    std::uint32_t maxSends = 5; ///< Of one request. The loss of both recorders is noticed before the last one.
    std::size_t maxOpen = 4'000; ///< Requests beyond this number are not made.

    auto operator<=>(const origin_record_request_settings &) const = default;
};

/// A request to send to each recorder.
struct due_record_request
{
    origin_record_request request;
    std::uint32_t sends = 1; ///< How often it has been sent, this time included.

    auto operator<=>(const due_record_request &) const = default;
};

/**
 * The origins of this entry's streams whose records were requested and are not known to be in the store.
 *
 * Load pattern: streams of several software versions run, all entries lose power, and streams that have just begun can be resumed only if their
 * origins are in the store. So a stream is passed on to its caller once its record is acknowledged. While the store or the recorders are away, no
 * acknowledgement comes, and streams must not wait for it one after the other. Pure; not thread safe. Instants must not decrease.
 */
class origin_record_requests
{
public:
    static origin_record_requests make(const origin_record_request_settings &settings);

    /// Makes a request for the record of @p origin, which dueRequests() returns. Returns false if there are too many.
    bool add(const stream_origin &origin);
    /// Returns the requests to be sent to each recorder now: new ones, and those that weren't acknowledged in time.
    std::vector<due_record_request> dueRequests(instant now);
    /// Lets dueRequests() return all open requests, since other entries have become recorders.
    void repeatAll();
    /// Processes the acknowledgement of a request, by any recorder.
    void onAck(const origin_record_ack &ack);
    /// Returns whether a record of the stream was requested and isn't acknowledged.
    bool isOpen(std::uint64_t stream) const;
    /// Returns whether the recorders have left a request unanswered for too long, so that a stream would wait in vain.
    bool isOverdue(instant now) const;
    /// Returns the number of open requests.
    std::size_t size() const noexcept
    {
        return m_open.size();
    }

private:
    struct open_request
    {
        origin_record_request request;
        instant firstSentAt{};
        instant repeatAt{};
        std::uint32_t sends = 0;
        bool isDue = true;
    };

    using open_requests = std::map<std::uint32_t, open_request>;

    explicit origin_record_requests(const origin_record_request_settings &settings);
    void close(open_requests::iterator request);

    origin_record_request_settings m_settings;
    open_requests m_open; ///< By number, so the oldest comes first.
    std::map<std::uint64_t, std::uint32_t> m_numbers; ///< The last open request of each stream.
    std::uint32_t m_lastNumber = 0;
};

} // namespace heatherroute
