#include "support/soak_audit.h"

#include <algorithm>

namespace heatherroute::support
{

namespace
{

/// Whether @p status guarantees that the request was not executed and never will be.
bool guaranteesNotExecuted(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void soak_audit::addViolation(const std::string &rule, const caller_result &result, const std::string &what)
{
    m_violations.push_back(rule + ": request " + result.id + " (" + result.path + ", status " + std::to_string(result.status) + "): " + what);
}

void soak_audit::recordResult(const caller_result &result, bool disturbed)
{
    m_byStatus[result.status] += 1;
    m_results.push_back(result);
    if (result.isComplete && !result.fault.empty()) {
        addViolation("complete and matching answer", result, result.fault);
    } else if (!result.isComplete && !result.fault.empty() && !disturbed) {
        addViolation("answer before the deadline", result, result.fault);
    }
}

void soak_audit::checkExecutions(const std::function<int(const std::string &id)> &runsOf)
{
    for (const caller_result &result : m_results) {
        const int runs = runsOf(result.id);
        // Lookups are idempotent, so a retry may execute them again.
        if (result.path != kLookupPath && runs > 1) {
            addViolation("at most one execution", result, "was executed " + std::to_string(runs) + " times");
        }
        if (result.path != kLookupPath && result.isComplete && guaranteesNotExecuted(result.status) && runs > 0) {
            addViolation("no execution after a not-executed status", result, "was executed " + std::to_string(runs) + " times");
        }
        if (result.isComplete && result.status == 200 && runs == 0) {
            addViolation("complete and matching answer", result, "was answered but not executed");
        }
    }
}

void soak_audit::recordPublication(std::chrono::steady_clock::time_point at, bool lookups)
{
    m_publications.push_back({at, lookups});
}

void soak_audit::recordLookup(const std::string &process, std::chrono::steady_clock::time_point sent, std::chrono::steady_clock::time_point ended, bool routed)
{
    std::vector<oldest_version> &versions = m_oldestVersions[process];
    // Only what was known before the lookup was sent counts: concurrent lookups may use either configuration.
    std::size_t index = 0;
    for (const oldest_version &oldest : versions) {
        index = oldest.knownAt < sent ? std::max(index, oldest.index) : index;
    }
    // Finds the oldest configuration from there on that explains the result.
    while (index < m_publications.size() && m_publications[index].at <= ended && m_publications[index].lookups != routed) {
        ++index;
    }
    if (index == m_publications.size() || m_publications[index].at > ended) {
        m_violations.push_back("no configuration rollback: " + process
                               + (routed ? " routed a lookup because of an older configuration" : " did not route a lookup because of an older configuration"));
        return;
    }
    versions.push_back({ended, index});
}

void soak_audit::recordRunsAfterDrain(const std::string &upstream, int runs)
{
    if (runs > 0) {
        m_violations.push_back("no requests to drained upstreams: " + upstream + " started " + std::to_string(runs) + " requests after its grace time");
    }
}

void soak_audit::recordNotRecovered(std::size_t entry)
{
    m_violations.push_back("recovery: entry " + std::to_string(entry) + " did not serve again");
}

} // namespace heatherroute::support
