#include "node/phase_orders.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/http_status.h"
#include "node/boot_clock.h"
#include "node/relay_call.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

/// From telling that an engine is sent to another phase to the order: prompts that are read for it by then still find it.
constexpr std::chrono::milliseconds kAnnounceTime{700};

std::string nameOf(engine_phase phase)
{
    return phase == engine_phase::Prefill ? "prefill" : "decode";
}

} // namespace

phase_orders::phase_orders(relay_state &state, std::chrono::milliseconds takeOverWait)
    : m_state(state)
    , m_takeOverWait(takeOverWait)
{ }

void phase_orders::setLease(const lease_term &lease)
{
    m_lease = lease;
}

bool phase_orders::mayOrder() const
{
    return heatherroute::mayOrder(m_lease, bootMilliseconds(), m_takeOverWait);
}

void phase_orders::advance(instant now)
{
    if (!m_state.routes) {
        return;
    }
    const bool allowed = mayOrder() && m_pending.empty();
    for (const auto &[name, spec] : m_state.routes->services()) {
        const std::vector<const registration *> engines = spec.engine ? m_state.registry.usable(name) : std::vector<const registration *>{};
        if (engines.empty()) {
            continue;
        }
        phase_planner &planner = m_state.plannerOf(name);
        if (!allowed) {
            planner.observe(now, engines);
            continue;
        }
        const auto move = planner.plan(now, engines, m_state.desk.loads());
        const registration *run = move ? m_state.registry.find(move->id) : nullptr;
        if (run != nullptr) {
            m_pending.insert(run->id);
            m_state.announceMove(*run, move->to);
            asio::co_spawn(m_state.executor, order(*run, move->to), asio::detached);
        }
    }
}

asio::awaitable<void> phase_orders::order(registration run, engine_phase to)
{
    if (m_state.plannerOf(run.service).isServing()) {
        asio::steady_timer timer(m_state.executor, kAnnounceTime);
        co_await timer.async_wait(asio::use_awaitable);
    }
    net::http_call ask = aimedAt(m_state, run, m_state.dialect.makeReportCall(run.id), m_state.timing.engineCallTimeout);
    const net::http_result told = co_await net::performCall(std::move(ask));
    const auto report = told.answer ? m_state.dialect.readReport(*told.answer) : std::nullopt;
    std::string outcome = "no_report";
    bool given = false;
    const std::uint64_t token = m_lease.fencingToken;
    // The lease is looked at again, as the report took its time.
    if (report && !report->busy && report->phase != to && mayOrder()) {
        phase_order wanted;
        wanted.instance = run.id;
        wanted.phase = to;
        wanted.holder = m_state.entryName;
        wanted.fencingToken = token;
        wanted.expectedOrders = report->ordersAccepted;
        net::http_call call = aimedAt(m_state, run, m_state.dialect.makePhaseOrder(wanted), m_state.timing.engineCallTimeout);
        const net::http_result result = co_await net::performCall(std::move(call));
        // Without an answer the order may have been accepted.
        given = !result.answer || result.answer->status < net::status::kFirstRedirect;
        outcome = result.answer ? "status_" + std::to_string(result.answer->status) : result.failure.reason;
    } else if (report) {
        outcome = report->busy ? "busy" : "not_needed";
    }
    m_pending.erase(run.id);
    if (!given) {
        const registration *known = m_state.registry.find(run.id);
        const registration &current = known != nullptr && known->phase ? *known : run;
        m_state.announceMove(current, *current.phase);
    }
    m_state.log(log_level::Info, "phase_ordered", {upstreamField(run.id), {"to", nameOf(to)}, {"fencing_token", std::to_string(token)}, {"outcome", outcome}});
}

} // namespace heatherroute::node
