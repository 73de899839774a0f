#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "heatherroute/config_replica.h"
#include "heatherroute/last_reason.h"

namespace heatherroute::control
{

/// Where the configuration stream is.
struct stream_location
{
    boost::asio::ip::tcp::endpoint log;
    std::string stream;
};

/**
 * An operator's own copy of the configuration, read from the log as entries read it.
 *
 * It decides on publications by the same function as every entry, so a tool can tell the outcome of its own publication
 * without asking. Not thread safe.
 */
class config_reader
{
public:
    /// Reads the stream to its present end. On failure returns null and sets @p reason.
    static std::unique_ptr<config_reader> make(stream_location location, last_reason *reason);

    /// The configuration up to what was read.
    const config_state &state() const;

    /// Appends @p record. False with @p reason when the log did not confirm it; it may have been appended all the same.
    bool append(const std::string &record, last_reason *reason);

    /// Reads on until the publication @p publishId was decided on; empty with @p reason after @p limit.
    std::optional<publish_result> awaitDecision(const std::string &publishId, std::chrono::milliseconds limit, last_reason *reason);

private:
    config_reader(stream_location location, std::unique_ptr<config_replica> replica);

    bool readOnce(std::chrono::milliseconds wait, bool *atEnd, last_reason *reason);

    stream_location m_location;
    std::unique_ptr<config_replica> m_replica;
};

} // namespace heatherroute::control
