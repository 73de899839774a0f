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
 * The model does no I/O; time is an argument and must not decrease. Not thread safe.
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
        updateProgress(now);
        m_remaining[++m_lastId] = std::max(bytes, 1.0);
        return m_lastId;
    }

    /// Aborts a transfer; unknown ids are ignored.
    void abandon(instant now, std::uint64_t id)
    {
        updateProgress(now);
        m_remaining.erase(id);
    }

    /// Stalls or resumes the link; transfers make no progress while it is stalled.
    void setStalled(instant now, bool stalled)
    {
        updateProgress(now);
        m_stalled = stalled;
    }

    /// Advances all transfers to @p now and returns those that have completed.
    std::vector<std::uint64_t> advance(instant now)
    {
        updateProgress(now);
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

    /// When the next transfer completes, provided that no transfer starts or is aborted before; empty if none is in progress.
    std::optional<instant> nextFinish() const
    {
        if (m_remaining.empty() || m_stalled) {
            return std::nullopt;
        }
        double minBytes = m_remaining.begin()->second;
        for (const auto &[id, bytes] : m_remaining) {
            minBytes = std::min(minBytes, bytes);
        }
        const double us = minBytes * static_cast<double>(m_remaining.size()) / m_bytesPerUs;
        return m_time + duration(static_cast<std::int64_t>(us) + 1);
    }

    /// The number of running transfers.
    std::size_t running() const noexcept
    {
        return m_remaining.size();
    }

private:
    static constexpr double kCompleteBelowBytes = 0.5; ///< A smaller remainder is a rounding error.

    void updateProgress(instant now)
    {
        const double us = static_cast<double>((now - m_time).count());
        m_time = std::max(m_time, now);
        if (us <= 0 || m_remaining.empty() || m_stalled) {
            return;
        }
        const double bytesPerTransfer = us * m_bytesPerUs / static_cast<double>(m_remaining.size());
        for (auto &[id, bytes] : m_remaining) {
            bytes = std::max(0.0, bytes - bytesPerTransfer);
        }
    }

    double m_bytesPerUs;
    bool m_stalled = false;
    instant m_time;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, double> m_remaining;
};

} // namespace heatherroute::standins
