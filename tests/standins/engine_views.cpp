// The read-only calls of an engine.
#include "standins/engine_json.h"
#include "standins/engine_server.h"

#include <cinttypes>
#include <cstdio>

namespace heatherroute::standins
{

json::object engine_server::load()
{
    const instant now = realTime();
    if (!m_faults.freezeLoad) {
        sampleLoad(now);
    }
    const load_sample &sample = m_loadSamples.front();
    const bool isPrefill = m_settings.role == "prefill";
    const instant reportedAt = m_faults.freezeLoad ? sample.at : std::max(sample.at, now - m_options.loadLag);
    return {{"role", m_settings.role},
            {"model", m_settings.model},
            {"zone", m_settings.zone},
            {"slots", isPrefill ? 1 : m_settings.slots},
            {"running", sample.running},
            {"pieces_total", m_settings.pieces},
            {"pieces_free", sample.piecesFree},
            {"queue", sample.queue},
            {"as_of_ms", toMs(reportedAt)}};
}

json::object engine_server::requests(instant now) const
{
    json::array list;
    const auto add = [&](const auto &holders) {
        for (const auto &holder : holders) {
            list.push_back({{"request_id", holder.requestId}, {"pieces", holder.pieces}, {"age_ms", toMs(now) - toMs(holder.since)}});
        }
    };
    add(m_prefill.holders());
    add(m_decode.holders());
    return {{"requests", std::move(list)}};
}

json::object engine_server::cacheEvents(std::uint64_t after) const
{
    json::array list;
    std::uint64_t next = after;
    for (const auto &event : m_prefill.cache().events(after, realTime() - m_options.eventDelay)) {
        next = event.seq;
        if (m_options.eventGapEvery != 0 && event.seq % m_options.eventGapEvery == 0) {
            continue;
        }
        char hash[17];
        std::snprintf(hash, sizeof(hash), "%016" PRIx64, event.prefixHash);
        list.push_back({{"seq", event.seq}, {"kind", event.stored ? "stored" : "evicted"}, {"prefix_hash", hash}});
    }
    return {{"events", std::move(list)}, {"next", next}};
}

json::object engine_server::state() const
{
    json::array adapters;
    for (const auto &adapter : m_adapters) {
        adapters.emplace_back(adapter);
    }
    return {{"role", m_settings.role}, {"model", m_settings.model}, {"version", m_version}, {"adapters", std::move(adapters)}};
}

json::object engine_server::records() const
{
    json::array orders;
    for (const auto &order : m_orders) {
        orders.push_back({{"kind", order.kind}, {"value", order.value}, {"fence", order.fence}, {"at_ms", toMs(order.at)}, {"accepted", order.accepted}});
    }
    json::object refusals;
    for (const auto &[code, count] : m_refusals) {
        refusals[code] = count;
    }
    return {{"prefills", toJson(m_prefill.records())},
            {"decodes", toJson(m_decode.records())},
            {"tokens_generated", m_decode.tokensGenerated()},
            {"peak_slots", m_decode.peakSlots()},
            {"peak_pieces", m_decode.peakPieces()},
            {"orders", std::move(orders)},
            {"refusals", std::move(refusals)}};
}

} // namespace heatherroute::standins
