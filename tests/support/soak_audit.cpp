#include "support/soak_audit.h"

#include <algorithm>

namespace heatherroute::support
{

namespace
{

/// Whether @p status promises that the request has not run and never will.
bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void soak_audit::violate(const std::string &promise, const caller_result &result, const std::string &what)
{
    m_violations.push_back(promise + ": request " + result.id + " (" + result.path + ", status " + std::to_string(result.status) + "): " + what);
}

void soak_audit::noteEnd(const caller_result &result, bool disturbed)
{
    m_byStatus[result.status] += 1;
    m_results.push_back(result);
    if (result.whole && !result.fault.empty()) {
        violate("own whole answer", result, result.fault);
    } else if (!result.whole && !result.fault.empty() && !disturbed) {
        violate("answer in time", result, result.fault);
    }
}

void soak_audit::conclude(const std::function<int(const std::string &id)> &runsOf)
{
    for (const caller_result &result : m_results) {
        const int runs = runsOf(result.id);
        if (result.path != kLookupPath && runs > 1) {
            violate("at most once", result, "ran " + std::to_string(runs) + " times");
        }
        if (result.path != kLookupPath && result.whole && promisesNotRun(result.status) && runs > 0) {
            violate("not run is true", result, "ran " + std::to_string(runs) + " times");
        }
        if (result.whole && result.status == 200 && runs == 0) {
            violate("own whole answer", result, "was answered and never ran");
        }
    }
}

void soak_audit::notePublished(std::chrono::steady_clock::time_point at, bool lookups)
{
    m_published.push_back({at, lookups});
}

void soak_audit::noteLookup(const std::string &life, std::chrono::steady_clock::time_point sent, std::chrono::steady_clock::time_point ended, bool routed)
{
    std::vector<oldest_version> &known = m_oldest[life];
    std::size_t index = 0;
    for (const oldest_version &oldest : known) {
        index = oldest.knownAt < sent ? std::max(index, oldest.index) : index;
    }
    while (index < m_published.size() && m_published[index].at <= ended && m_published[index].lookups != routed) {
        ++index;
    }
    if (index == m_published.size() || m_published[index].at > ended) {
        m_violations.push_back("a configuration older than before: " + life + (routed ? " routed a lookup" : " did not route a lookup"));
        return;
    }
    known.push_back({ended, index});
}

void soak_audit::noteRunsAfterDrain(const std::string &upstream, int runs)
{
    if (runs > 0) {
        m_violations.push_back("no work for leaving upstreams: " + upstream + " began " + std::to_string(runs) + " requests after its time");
    }
}

void soak_audit::noteNotRecovered(std::size_t entry)
{
    m_violations.push_back("recovery: entry " + std::to_string(entry) + " did not serve again");
}

} // namespace heatherroute::support
