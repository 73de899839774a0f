#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "heatherroute/registration.h"
#include "heatherroute/stream_origin_message.h"
#include "heatherroute/time.h"
#include "heatherroute/upstream_instance.h"

namespace heatherroute
{

/// Settings of a stream_writers.
struct stream_writers_settings
{
    duration maxLife = std::chrono::minutes(2); ///< Longest time for which a stream that has ended is remembered.

    auto operator<=>(const stream_writers_settings &) const = default;
};

/**
 * The engines that write the streams of this entry, and whether each is certain to be the instance that the registry named.
 *
 * Load pattern: an engine comes back under its id with another version of its software and breaks off streams again before the entries have read
 * its registration. Answers don't name the instance that gives them, so such streams look like ones of the version before. The writer of a stream is
 * certain once one of these shows its instance after the first event: a list of upstreams that the store held then, or a later event
 * of a stream that the same instance is certain to write. A stream that ends incomplete before that has no known origin until a list shows it. Pure;
 * not thread safe. Instants must not decrease.
 */
class stream_writers
{
public:
    static stream_writers make(const stream_writers_settings &settings);

    /// Records that @p instance gets the request that told @p origin. @p isConfirmed: the engine itself has just named its instance.
    void begin(const stream_origin &origin, const upstream_instance &instance, bool isConfirmed);
    /// Records that a part of the stream has come at @p now. Returns its origin with the first one, unless its version is unknown.
    std::optional<stream_origin> notePart(instant now, std::uint64_t stream);
    /// Records that the list of upstreams holds all that the store did at @p at, and that noteInstance() was called for all of its changes.
    void noteList(instant at);
    /// Records that @p run is the current instance of its id. Returns the changed origins of the streams that an earlier one may not have written
    /// alone.
    std::vector<stream_origin> noteInstance(const registration &run);
    /// Records the end of a stream. Returns its changed origin if it is incomplete and its writer isn't certain. A second end changes nothing.
    std::optional<stream_origin> end(instant now, std::uint64_t stream, bool isComplete);
    /// Returns the changed origins of streams that have ended and whose writers have become certain since. To be called regularly.
    std::vector<stream_origin> advance(instant now);
    /// Returns whether a stream has a writer and hasn't ended.
    bool isWriting(std::uint64_t stream) const;
    /// Returns the origins of the streams that have begun, as they were last returned.
    std::vector<stream_origin> begun() const;
    std::size_t size() const noexcept
    {
        return m_writers.size();
    }

private:
    struct stream_writer
    {
        upstream_instance instance;
        stream_origin origin; ///< As other entries know it.
        std::string version; ///< That the registry named.
        bool isConfirmed = false;
        std::optional<instant> begunAt; ///< When its first part came.
        std::optional<instant> forgetAt; ///< Set once it has ended.
    };

    explicit stream_writers(const stream_writers_settings &settings);
    bool isShown(const stream_writer &writer) const;
    bool isCertain(const stream_writer &writer) const
    {
        return writer.isConfirmed || isShown(writer);
    }
    static stream_origin changed(stream_writer &writer, std::string version);

    stream_writers_settings m_settings;
    std::map<std::uint64_t, stream_writer> m_writers; ///< By stream.
    std::optional<instant> m_listAt; ///< The last time for which the list of upstreams is known.
    std::map<upstream_instance, instant> m_shownAt; ///< The last part of a stream that the instance is certain to have written.
};

} // namespace heatherroute
