#pragma once

#include "heatherroute/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heatherroute::standins
{

/// Limits of the log service.
struct log_settings
{
    std::size_t retentionRecords = 100000; ///< Max records that are kept per stream.
    duration retentionAge = std::chrono::hours(24); ///< Records of this age or older are removed.
    std::size_t appendsPerSecond = 400; ///< Limit over all streams; zero for no limit.
    std::size_t recordsPerAppend = 1000; ///< Max records in one append.
};

/// One record of a stream.
struct log_record
{
    std::uint64_t offset = 0;
    std::string data;
    instant at;
};

/// The result of an append: offset of the first appended record, and of the next record to be appended.
struct append_result
{
    std::uint64_t first = 0;
    std::uint64_t next = 0;
};

/**
 * The streams of the log service, with offsets that only grow, retention by count and age, and a rate limit on appends.
 *
 * The model does no I/O; time is an argument and must not decrease. Not thread safe.
 */
class log_model
{
public:
    explicit log_model(const log_settings &settings)
        : m_settings(settings)
    { }

    /// Returns whether the rate limit allows one more append at @p now, and counts it if so.
    bool admitAppend(instant now);
    /// Appends @p records to @p stream. Precondition: there are at most recordsPerAppend of them.
    append_result append(instant now, const std::string &stream, std::vector<std::string> records);
    /// The oldest offset of @p stream that is still retained; next() if no record is.
    std::uint64_t oldest(instant now, const std::string &stream);
    /// The offset of the next record that is appended to @p stream.
    std::uint64_t next(const std::string &stream) const;
    /// At most @p max records, starting at offset @p from. The vector is empty if there is no record at @p from yet; there is no vector if @p from
    /// is older than the oldest retained record.
    std::optional<std::vector<log_record>> read(instant now, const std::string &stream, std::uint64_t from, std::size_t max);
    /// Removes all but the newest @p keep records of @p stream, as if they had exceeded their retention.
    void truncate(const std::string &stream, std::size_t keep);
    /// The names of all streams.
    std::vector<std::string> streams() const;

private:
    struct stream_state
    {
        std::deque<log_record> records;
        std::uint64_t next = 0;
    };

    void applyRetention(instant now, stream_state &stream) const;

    log_settings m_settings;
    std::map<std::string, stream_state> m_streams;
    std::deque<instant> m_recentAppends;
};

/**
 * A value whose changes become visible to readers after a fixed lag.
 *
 * Time is an argument and must not decrease. Not thread safe.
 */
template<typename Value>
class lagging_value
{
public:
    explicit lagging_value(duration lag)
        : m_lag(lag)
    {
        m_history.push_back({instant::min(), Value()});
    }

    /// Sets the current value, which becomes visible after the lag.
    void set(instant now, Value value)
    {
        m_history.push_back({now, std::move(value)});
    }

    /// The value that readers see at @p now.
    const Value &visibleValue(instant now)
    {
        while (m_history.size() > 1 && m_history[1].at <= now - m_lag) {
            m_history.pop_front();
        }
        return m_history.front().value;
    }

private:
    struct entry
    {
        instant at;
        Value value;
    };

    duration m_lag;
    std::deque<entry> m_history;
};

} // namespace heatherroute::standins
