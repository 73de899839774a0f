#include "standins/prefill_model.h"

#include "heatherroute/assert.h"
#include "standins/expected_text.h"

#include <algorithm>
#include <utility>

namespace heatherroute::standins
{

namespace
{

constexpr double kMegabitsToBytesPerUs = 0.125;

}

prefill_model::prefill_model(const engine_settings &settings)
    : m_settings(settings)
    , m_link(settings.linkMbps * kMegabitsToBytesPerUs)
    , m_cache(settings.cacheTokens)
    , m_piecesFree(settings.pieces)
{ }

refusal prefill_model::submit(instant now, engine_request request, std::uint64_t *id)
{
    advance(now);
    for (const auto &[other, entry] : m_jobs) {
        if (entry.request.requestId == request.requestId) {
            return refusal::Duplicate;
        }
    }
    job entry;
    const std::string text = request.prompt + ' ' + request.generated;
    const std::size_t tokens = countTokens(text);
    entry.pieces = piecesFor(tokens, m_settings.pieceTokens);
    if (entry.pieces > m_settings.pieces) {
        return refusal::NoMemory;
    }
    entry.hashes = prefixHashes(text);
    entry.record = m_records.size();
    if (request.deadline > duration::zero()) {
        entry.deadline = now + request.deadline;
    }
    prefill_record record;
    record.requestId = request.requestId;
    record.arrived = now;
    record.promptTokens = tokens;
    m_records.push_back(std::move(record));
    entry.request = std::move(request);
    *id = ++m_lastId;
    m_jobs.emplace(*id, std::move(entry));
    startNext(now);
    return refusal::None;
}

bool prefill_model::cancel(instant now, const std::string &requestId)
{
    advance(now);
    const auto found = std::find_if(m_jobs.begin(), m_jobs.end(), [&](const auto &entry) { return entry.second.request.requestId == requestId; });
    if (found == m_jobs.end()) {
        return false;
    }
    endJob(now, found, end_reason::Cancelled);
    startNext(now);
    return true;
}

std::optional<std::uint64_t> prefill_model::startTransfer(instant now, std::uint64_t id)
{
    advance(now);
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || !found->second.held) {
        return std::nullopt;
    }
    ++found->second.transfers;
    const auto tokens = static_cast<double>(m_records[found->second.record].promptTokens);
    const auto transfer = m_link.start(now, tokens * m_settings.kvBytesPerToken);
    m_transfers[transfer] = id;
    return transfer;
}

void prefill_model::abandonTransfer(instant now, std::uint64_t transfer)
{
    m_link.abandon(now, transfer);
    const auto found = m_transfers.find(transfer);
    if (found != m_transfers.end()) {
        if (const auto entry = m_jobs.find(found->second); entry != m_jobs.end()) {
            --entry->second.transfers;
        }
        m_transfers.erase(found);
    }
    advance(now);
}

void prefill_model::advance(instant now)
{
    for (const auto transfer : m_link.advance(now)) {
        const auto entry = m_jobs.find(m_transfers.at(transfer));
        if (entry != m_jobs.end()) {
            --entry->second.transfers;
            m_records[entry->second.record].fetched = true;
        }
        m_transfers.erase(transfer);
        m_completeTransfers.push_back(transfer);
    }
    // Processes each computation at its own end time, so that a late call gives the same result as an early one.
    while (m_running != 0 && m_jobs.at(m_running).finish <= now) {
        const instant finish = m_jobs.at(m_running).finish;
        finishRunning();
        expire(finish);
        startNext(finish);
    }
    expire(now);
    startNext(now);
}

std::optional<instant> prefill_model::nextEvent() const
{
    std::optional<instant> next = m_link.nextFinish();
    const auto consider = [&next](instant at) { next = next ? std::min(*next, at) : at; };
    if (m_running != 0) {
        consider(m_jobs.at(m_running).finish);
    }
    for (const auto &[id, entry] : m_jobs) {
        if (entry.held && entry.transfers == 0) {
            consider(entry.expiry);
        }
        if (!entry.held && entry.deadline) {
            consider(*entry.deadline);
        }
    }
    return next;
}

std::vector<prefill_outcome> prefill_model::takeOutcomes()
{
    return std::exchange(m_outcomes, {});
}

std::vector<std::uint64_t> prefill_model::takeCompletedTransfers()
{
    return std::exchange(m_completeTransfers, {});
}

void prefill_model::setSlowFactor(double factor)
{
    m_slowFactor = factor;
}

void prefill_model::setStalled(instant now, bool stalled)
{
    m_link.setStalled(now, stalled);
}

std::vector<prefill_model::holder> prefill_model::holders() const
{
    std::vector<holder> result;
    for (const auto &[id, entry] : m_jobs) {
        if (entry.held || id == m_running) {
            result.push_back({entry.request.requestId, entry.pieces, m_records[entry.record].start});
        }
    }
    return result;
}

std::size_t prefill_model::queued() const
{
    return static_cast<std::size_t>(
        std::count_if(m_jobs.begin(), m_jobs.end(), [this](const auto &entry) { return !entry.second.held && entry.first != m_running; }));
}

std::size_t prefill_model::running() const
{
    return m_running == 0 ? 0 : 1;
}

std::size_t prefill_model::piecesFree() const
{
    return m_piecesFree;
}

const prefix_cache &prefill_model::cache() const
{
    return m_cache;
}

const std::vector<prefill_record> &prefill_model::records() const
{
    return m_records;
}

const std::string *prefill_model::runningPrompt() const
{
    return m_running == 0 ? nullptr : &m_jobs.at(m_running).request.prompt;
}

void prefill_model::startNext(instant now)
{
    if (m_running != 0) {
        return;
    }
    auto best = m_jobs.end();
    for (auto entry = m_jobs.begin(); entry != m_jobs.end(); ++entry) {
        const bool waiting = !entry->second.held;
        if (waiting && (best == m_jobs.end() || entry->second.request.priority > best->second.request.priority)) {
            best = entry;
        }
    }
    if (best == m_jobs.end() || best->second.pieces > m_piecesFree) {
        return;
    }
    job &next = best->second;
    prefill_record &record = m_records[next.record];
    record.start = now;
    record.cachedTokens = m_cache.cachedTokens(next.hashes);
    record.computedTokens = record.promptTokens - record.cachedTokens;
    const double us = static_cast<double>(record.computedTokens) * m_settings.prefillUsPerToken * m_slowFactor;
    next.finish = now + duration(static_cast<std::int64_t>(us));
    m_piecesFree -= next.pieces;
    m_running = best->first;
}

void prefill_model::finishRunning()
{
    job &done = m_jobs.at(m_running);
    done.held = true;
    done.expiry = done.finish + m_settings.kvTtl;
    m_cache.store(done.finish, done.hashes);
    const prefill_record &record = m_records[done.record];
    m_outcomes.push_back({m_running, end_reason::Open, record.promptTokens, record.cachedTokens, done.pieces});
    m_running = 0;
}

void prefill_model::expire(instant now)
{
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
        const auto current = entry++;
        const job &candidate = current->second;
        if (candidate.held && candidate.transfers == 0 && candidate.expiry <= now) {
            endJob(now, current, m_records[candidate.record].fetched ? end_reason::Fetched : end_reason::Expired);
        } else if (!candidate.held && candidate.deadline && *candidate.deadline <= now) {
            endJob(now, current, end_reason::Deadline);
        }
    }
}

void prefill_model::endJob(instant now, job_map::iterator entry, end_reason reason)
{
    const job &ended = entry->second;
    prefill_record &record = m_records[ended.record];
    record.end = now;
    record.reason = record.fetched ? end_reason::Fetched : reason;
    if (ended.held || entry->first == m_running) {
        m_piecesFree += ended.pieces;
        HR_ASSERT(m_piecesFree <= m_settings.pieces);
    }
    if (entry->first == m_running) {
        // Counts only the tokens that were computed before the prefill ended.
        const auto total = static_cast<double>((ended.finish - record.start).count());
        const auto spent = static_cast<double>((now - record.start).count());
        const double computedFraction = total > 0 ? std::clamp(spent / total, 0.0, 1.0) : 1.0;
        record.computedTokens = static_cast<std::size_t>(static_cast<double>(record.computedTokens) * computedFraction);
        m_running = 0;
    }
    if (!ended.held) {
        m_outcomes.push_back({entry->first, reason, record.promptTokens, 0, 0});
    }
    m_jobs.erase(entry);
}

} // namespace heatherroute::standins
