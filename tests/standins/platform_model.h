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
    std::size_t retentionRecords = 100000; ///< Of each stream.
    duration retentionAge = std::chrono::hours(24);
    std::size_t appendsPerSecond = 400; ///< Over all streams; zero for no limit.
    std::size_t recordsPerAppend = 1000;
};

/// One record of a stream.
struct log_record
{
    std::uint64_t offset = 0;
    std::string data;
    instant at;
};

/// The answer to an append.
struct append_result
{
    std::uint64_t first = 0;
    std::uint64_t next = 0;
};

/**
 * The streams of the log service: offsets that only grow, retention by count and age, a limit on appends.
 *
 * Pure: time is an argument and must not go back. Not thread safe.
 */
class log_model
{
public:
    explicit log_model(const log_settings &settings)
        : m_settings(settings)
    { }

    /// Whether one more append is within the limit now; counts it when it is.
    bool admitAppend(instant now);
    /// Appends @p records to @p stream. Precondition: no more than recordsPerAppend.
    append_result append(instant now, const std::string &stream, std::vector<std::string> records);
    /// The oldest offset of @p stream that is still kept.
    std::uint64_t oldest(instant now, const std::string &stream);
    /// The offset that the next record of @p stream gets.
    std::uint64_t next(const std::string &stream) const;
    /// Up to @p max records from @p from on; empty when some of them are already forgotten.
    std::optional<std::vector<log_record>> read(instant now, const std::string &stream, std::uint64_t from, std::size_t max);
    /// Forgets all but the newest @p keep records of @p stream, as if their retention had run out.
    void truncate(const std::string &stream, std::size_t keep);
    /// The names of all streams.
    std::vector<std::string> streams() const;

private:
    struct stream_state
    {
        std::deque<log_record> records;
        std::uint64_t next = 0;
    };

    void forget(instant now, stream_state &stream) const;

    log_settings m_settings;
    std::map<std::string, stream_state> m_streams;
    std::deque<instant> m_recentAppends;
};

/**
 * A value that readers see only after a lag.
 *
 * Pure: time is an argument and must not go back. Not thread safe.
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

    /// Sets the truth.
    void set(instant now, Value value)
    {
        m_history.push_back({now, std::move(value)});
    }

    /// What is shown at @p now.
    const Value &shown(instant now)
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
