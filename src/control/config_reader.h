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

/// The location of the configuration stream.
struct stream_location
{
    boost::asio::ip::tcp::endpoint log; ///< The log service.
    std::string stream;
};

/**
 * A local replica of the configuration, built from the log in the same way as in an entry.
 *
 * It decides on publications with the same function as every entry, so a tool learns the outcome of its own publication
 * without querying an entry. Not thread safe.
 */
class config_reader
{
public:
    /// Creates a reader and reads the stream to its current end. On failure returns null and sets @p reason.
    static std::unique_ptr<config_reader> make(stream_location location, last_reason *reason);

    /// The configuration after the last record read.
    const config_state &state() const;

    /// Appends @p record. When the log does not confirm it, returns false and sets @p reason; the record may have been appended nevertheless.
    bool append(const std::string &record, last_reason *reason);

    /// Reads the log until the publication @p publishId has been decided. Returns empty and sets @p reason when a read fails or @p limit has passed.
    std::optional<publish_result> awaitDecision(const std::string &publishId, std::chrono::milliseconds limit, last_reason *reason);

private:
    config_reader(stream_location location, std::unique_ptr<config_replica> replica);

    /// Reads and applies one batch; sets @p atEnd when it reached the end of the stream. Returns false with @p reason when the read fails.
    bool readOnce(std::chrono::milliseconds wait, bool *atEnd, last_reason *reason);

    stream_location m_location;
    std::unique_ptr<config_replica> m_replica;
};

} // namespace heatherroute::control
