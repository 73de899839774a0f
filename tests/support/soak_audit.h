#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "support/relay_site.h"

namespace heatherroute::support
{

/**
 * Checks what callers and upstreams saw against the promises.
 *
 * Pure; not thread safe.
 */
class soak_audit
{
public:
    /// A caller's request has ended. @p disturbed tells whether its entry was killed, stopped or paused meanwhile.
    void noteEnd(const caller_result &result, bool disturbed);
    /// The run is over: @p runsOf gives how often a request ran in all.
    void conclude(const std::function<int(const std::string &id)> &runsOf);
    /// A configuration is being published; @p lookups tells whether it routes them. Call it before, in the order of versions.
    void notePublished(std::chrono::steady_clock::time_point at, bool lookups);
    /// A process handled a lookup as some configuration says, at some moment between @p sent and @p ended. @p life names the process.
    /// Call it in the order of the ends.
    void noteLookup(const std::string &life, std::chrono::steady_clock::time_point sent, std::chrono::steady_clock::time_point ended, bool routed);
    /// An upstream that was told to leave has begun @p runs requests after its time.
    void noteRunsAfterDrain(const std::string &upstream, int runs);
    /// An entry did not serve again after everything was healed.
    void noteNotRecovered(std::size_t entry);

    /// What broke a promise, one line each.
    const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }
    std::size_t requests() const noexcept
    {
        return m_results.size();
    }
    /// Requests by their status; 0 stands for no whole answer.
    const std::map<unsigned, std::size_t> &byStatus() const noexcept
    {
        return m_byStatus;
    }

private:
    struct published_configuration
    {
        std::chrono::steady_clock::time_point at;
        bool lookups = false;
    };
    /// The oldest version that a process may still use, as was known at some time.
    struct oldest_version
    {
        std::chrono::steady_clock::time_point knownAt;
        std::size_t index = 0;
    };

    void violate(const std::string &promise, const caller_result &result, const std::string &what);

    std::vector<caller_result> m_results;
    std::map<unsigned, std::size_t> m_byStatus;
    std::vector<std::string> m_violations;
    std::vector<published_configuration> m_published;
    std::map<std::string, std::vector<oldest_version>> m_oldest; ///< By process.
};

} // namespace heatherroute::support
