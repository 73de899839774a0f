#include "standins/decode_model.h"

#include "heatherroute/assert.h"

#include <algorithm>
#include <utility>

namespace heatherroute::standins
{

namespace
{

constexpr double kMegabitsToBytesPerUs = 0.125;

}

decode_model::decode_model(const engine_settings &settings)
    : m_settings(settings)
    , m_link(settings.linkMbps * kMegabitsToBytesPerUs)
    , m_piecesFree(settings.pieces)
{ }

refusal decode_model::accept(instant now, const engine_request &request, std::size_t *record)
{
    advance(now);
    const auto known = m_jobs.find(request.requestId);
    if (known != m_jobs.end() && known->second.holdsMemory) {
        return refusal::Duplicate;
    }
    const std::size_t promptTokens = countTokens(request.prompt);
    const std::size_t pieces = piecesFor(promptTokens + request.maxTokens, m_settings.pieceTokens);
    if (m_slotsUsed == m_settings.slots) {
        return refusal::NoSlot;
    }
    if (pieces > m_piecesFree) {
        return refusal::NoMemory;
    }
    job entry(expected_answer(request.model, request.prompt, request.maxTokens));
    entry.pieces = pieces;
    entry.generated = request.offset;
    entry.record = m_records.size();
    entry.transfer = m_link.start(now, static_cast<double>(promptTokens + request.offset) * m_settings.kvBytesPerToken);
    if (request.deadline > duration::zero()) {
        entry.deadline = now + request.deadline;
    }
    *record = m_records.size();
    m_records.emplace_back();
    m_records.back().requestId = request.requestId;
    m_records.back().offset = request.offset;
    m_records.back().pieces = pieces;
    m_records.back().accepted = now;
    m_piecesFree -= pieces;
    ++m_slotsUsed;
    m_peakSlots = std::max(m_peakSlots, m_slotsUsed);
    m_peakPieces = std::max(m_peakPieces, m_settings.pieces - m_piecesFree);
    m_jobs.insert_or_assign(request.requestId, entry);
    return refusal::None;
}

void decode_model::markSourceComplete(instant now, const std::string &requestId)
{
    advance(now);
    const auto found = m_jobs.find(requestId);
    if (found != m_jobs.end()) {
        found->second.sourceComplete = true;
        startIfReady(now, found->second);
        scheduleStep(now);
    }
}

void decode_model::failTransfer(instant now, const std::string &requestId)
{
    advance(now);
    const auto found = m_jobs.find(requestId);
    if (found != m_jobs.end() && found->second.holdsMemory && !found->second.started) {
        release(now, found->second, end_reason::Refused);
        m_jobs.erase(found);
    }
}

bool decode_model::cancel(instant now, const std::string &requestId)
{
    advance(now);
    const auto found = m_jobs.find(requestId);
    if (found == m_jobs.end()) {
        return false;
    }
    const bool heldMemory = found->second.holdsMemory;
    if (heldMemory) {
        release(now, found->second, end_reason::Cancelled);
    }
    m_jobs.erase(found);
    return heldMemory;
}

void decode_model::detach(instant now, const std::string &requestId)
{
    advance(now);
    const auto found = m_jobs.find(requestId);
    if (found != m_jobs.end()) {
        found->second.detachEnd = now + m_settings.detachTimeout;
    }
    expire(now);
}

std::optional<std::size_t> decode_model::attach(instant now, const std::string &requestId)
{
    advance(now);
    const auto found = m_jobs.find(requestId);
    if (found == m_jobs.end() || !found->second.started) {
        return std::nullopt;
    }
    if (found->second.holdsMemory) {
        found->second.detachEnd.reset();
    }
    return found->second.record;
}

const expected_answer *decode_model::answer(const std::string &requestId) const
{
    const auto found = m_jobs.find(requestId);
    return found == m_jobs.end() ? nullptr : &found->second.answer;
}

void decode_model::advance(instant now)
{
    // Processes steps and arrivals in time order, so that a late call gives the same result as an early one.
    while (true) {
        const auto arrival = m_link.nextFinish();
        const bool arrivalDue = arrival && *arrival <= now;
        const bool stepDue = m_stepEnd && *m_stepEnd <= now;
        if (!arrivalDue && !stepDue) {
            break;
        }
        if (arrivalDue && (!stepDue || *arrival < *m_stepEnd)) {
            const auto complete = m_link.advance(*arrival);
            for (auto &[id, entry] : m_jobs) {
                if (std::find(complete.begin(), complete.end(), entry.transfer) != complete.end()) {
                    entry.arrived = true;
                    startIfReady(*arrival, entry);
                }
            }
            scheduleStep(*arrival);
        } else {
            step(*m_stepEnd);
        }
    }
    expire(now);
}

std::optional<instant> decode_model::nextEvent() const
{
    std::optional<instant> next = m_link.nextFinish();
    const auto consider = [&next](const std::optional<instant> &at) {
        if (at) {
            next = next ? std::min(*next, *at) : *at;
        }
    };
    consider(m_stepEnd);
    for (const auto &[id, entry] : m_jobs) {
        consider(entry.detachEnd);
        if (entry.holdsMemory) {
            consider(entry.deadline);
        }
    }
    return next;
}

void decode_model::setSlowFactor(double factor)
{
    m_slowFactor = factor;
}

void decode_model::setStalled(instant now, bool stalled)
{
    m_link.setStalled(now, stalled);
}

std::vector<decode_model::holder> decode_model::holders() const
{
    std::vector<holder> result;
    for (const auto &[id, entry] : m_jobs) {
        if (entry.holdsMemory) {
            result.push_back({id, entry.pieces, m_records[entry.record].accepted});
        }
    }
    return result;
}

std::size_t decode_model::slotsUsed() const
{
    return m_slotsUsed;
}

std::size_t decode_model::piecesFree() const
{
    return m_piecesFree;
}

std::uint64_t decode_model::tokensGenerated() const
{
    return m_tokensGenerated;
}

std::size_t decode_model::peakSlots() const
{
    return m_peakSlots;
}

std::size_t decode_model::peakPieces() const
{
    return m_peakPieces;
}

const std::vector<decode_record> &decode_model::records() const
{
    return m_records;
}

void decode_model::startIfReady(instant now, job &candidate)
{
    if (!candidate.started && candidate.arrived && candidate.sourceComplete) {
        candidate.started = true;
        m_records[candidate.record].start = now;
        if (candidate.generated >= candidate.answer.tokens()) {
            release(now, candidate, end_reason::Done);
        }
    }
}

std::size_t decode_model::running() const
{
    return static_cast<std::size_t>(
        std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &entry) { return entry.second.started && entry.second.holdsMemory; }));
}

void decode_model::scheduleStep(instant now)
{
    const std::size_t batch = running();
    if (m_stepEnd || batch == 0) {
        return;
    }
    const double us = m_settings.tokenUs * m_slowFactor * (1 + m_settings.batchSlowdown * static_cast<double>(batch - 1));
    m_stepEnd = now + duration(std::max<std::int64_t>(1, static_cast<std::int64_t>(us)));
}

void decode_model::step(instant now)
{
    m_stepEnd.reset();
    for (auto &[id, entry] : m_jobs) {
        if (!entry.started || !entry.holdsMemory) {
            continue;
        }
        ++entry.generated;
        ++m_tokensGenerated;
        ++m_records[entry.record].tokens;
        if (entry.generated >= entry.answer.tokens()) {
            release(now, entry, end_reason::Done);
        }
    }
    scheduleStep(now);
}

void decode_model::expire(instant now)
{
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
        const auto current = entry++;
        job &candidate = current->second;
        const bool detached = candidate.detachEnd && *candidate.detachEnd <= now;
        const bool pastDeadline = candidate.holdsMemory && candidate.deadline && *candidate.deadline <= now;
        if (!detached && !pastDeadline) {
            continue;
        }
        if (candidate.holdsMemory) {
            release(now, candidate, pastDeadline ? end_reason::Deadline : end_reason::Detached);
        }
        m_jobs.erase(current);
    }
}

void decode_model::release(instant now, job &ended, end_reason reason)
{
    HR_ASSERT(ended.holdsMemory && m_slotsUsed > 0);
    ended.holdsMemory = false;
    m_link.abandon(now, ended.transfer);
    m_piecesFree += ended.pieces;
    --m_slotsUsed;
    HR_ASSERT(m_piecesFree <= m_settings.pieces);
    ended.detachEnd = now + m_settings.detachTimeout;
    decode_record &record = m_records[ended.record];
    record.end = now;
    record.reason = reason;
}

} // namespace heatherroute::standins
