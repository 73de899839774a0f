#pragma once

#include "heatherroute/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace heatherroute::standins
{

/**
 * A link of limited rate that all running transfers share evenly (processor sharing).
 *
 * Pure: time is an argument and must not go back. Not thread safe.
 */
class link_model
{
public:
    explicit link_model(double bytesPerUs)
        : m_bytesPerUs(bytesPerUs)
    { }

    /// Starts a transfer of @p bytes and returns its id.
    std::uint64_t start(instant now, double bytes)
    {
        progress(now);
        m_remaining[++m_lastId] = std::max(bytes, 1.0);
        return m_lastId;
    }

    /// Forgets a transfer; unknown ids are ignored.
    void abandon(instant now, std::uint64_t id)
    {
        progress(now);
        m_remaining.erase(id);
    }

    /// While stalled no transfer makes progress.
    void setStalled(instant now, bool stalled)
    {
        progress(now);
        m_stalled = stalled;
    }

    /// Moves all transfers on to @p now and returns those that are complete.
    std::vector<std::uint64_t> advance(instant now)
    {
        progress(now);
        std::vector<std::uint64_t> complete;
        for (const auto &[id, bytes] : m_remaining) {
            if (bytes < kCompleteBelowBytes) {
                complete.push_back(id);
            }
        }
        for (const auto id : complete) {
            m_remaining.erase(id);
        }
        return complete;
    }

    /// When the next transfer completes if none starts or stops before.
    std::optional<instant> nextFinish() const
    {
        if (m_remaining.empty() || m_stalled) {
            return std::nullopt;
        }
        double least = m_remaining.begin()->second;
        for (const auto &[id, bytes] : m_remaining) {
            least = std::min(least, bytes);
        }
        const double us = least * static_cast<double>(m_remaining.size()) / m_bytesPerUs;
        return m_time + duration(static_cast<std::int64_t>(us) + 1);
    }

    /// The number of running transfers.
    std::size_t running() const noexcept
    {
        return m_remaining.size();
    }

private:
    static constexpr double kCompleteBelowBytes = 0.5;

    void progress(instant now)
    {
        const double us = static_cast<double>((now - m_time).count());
        m_time = std::max(m_time, now);
        if (us <= 0 || m_remaining.empty() || m_stalled) {
            return;
        }
        const double share = us * m_bytesPerUs / static_cast<double>(m_remaining.size());
        for (auto &[id, bytes] : m_remaining) {
            bytes = std::max(0.0, bytes - share);
        }
    }

    double m_bytesPerUs;
    bool m_stalled = false;
    instant m_time;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, double> m_remaining;
};

} // namespace heatherroute::standins
