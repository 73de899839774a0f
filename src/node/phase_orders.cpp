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

/// Delay between announcing a phase change and sending the order. Requests whose prompt is being prefilled for this engine can still
/// start their decode on it within that time.
constexpr std::chrono::milliseconds kAnnounceDelay{700};

std::string nameOf(engine_phase phase)
{
    return phase == engine_phase::Prefill ? "prefill" : "decode";
}

} // namespace

phase_orders::phase_orders(relay_state &state, std::chrono::milliseconds takeoverDelay)
    : m_state(state)
    , m_takeoverDelay(takeoverDelay)
{ }

void phase_orders::setLease(const lease_term &lease)
{
    m_lease = lease;
}

bool phase_orders::mayOrder() const
{
    return heatherroute::mayOrder(m_lease, bootMilliseconds(), m_takeoverDelay);
}

void phase_orders::advance(instant now)
{
    if (!m_state.routes) {
        return;
    }
    const bool canOrder = mayOrder() && m_pending.empty();
    for (const auto &[name, spec] : m_state.routes->services()) {
        const std::vector<const registration *> engines = spec.engine ? m_state.registry.usable(name) : std::vector<const registration *>{};
        if (engines.empty()) {
            continue;
        }
        phase_planner &planner = m_state.plannerOf(name);
        if (!canOrder) {
            planner.observe(now, engines);
            continue;
        }
        const auto move = planner.plan(now, engines, m_state.scheduler.loads());
        const registration *run = move ? m_state.registry.find(move->id) : nullptr;
        if (run != nullptr) {
            m_pending.insert(run->id);
            m_state.announcePhaseMove(*run, move->to);
            asio::co_spawn(m_state.executor, sendOrder(*run, move->to), asio::detached);
        }
    }
}

asio::awaitable<void> phase_orders::sendOrder(registration run, engine_phase to)
{
    if (m_state.plannerOf(run.service).isServing()) {
        asio::steady_timer timer(m_state.executor, kAnnounceDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    constexpr std::uint32_t kCalls = 2; // The report and the order.
    const bool permitted = co_await m_state.permits.acquire(run, kCalls);
    std::optional<engine_report> report;
    if (permitted) {
        net::http_call reportCall = prepareCall(m_state, run, m_state.dialect.makeReportCall(run.id), m_state.timing.engineCallTimeout);
        const net::http_result reportResult = co_await m_state.callUpstream(run, std::move(reportCall));
        report = reportResult.answer ? m_state.dialect.readReport(*reportResult.answer) : std::nullopt;
    }
    std::string outcome = permitted ? "no_report" : kAtLimitReason;
    bool mayBeAccepted = false;
    const std::uint64_t token = m_lease.fencingToken;
    // The lease is checked again because it may have expired while the report was fetched.
    if (report && !report->busy && report->phase != to && mayOrder()) {
        phase_order order;
        order.instance = run.id;
        order.phase = to;
        order.holder = m_state.entryName;
        order.fencingToken = token;
        order.expectedOrders = report->ordersAccepted;
        net::http_call call = prepareCall(m_state, run, m_state.dialect.makePhaseOrder(order), m_state.timing.engineCallTimeout);
        const net::http_result result = co_await m_state.callUpstream(run, std::move(call));
        // An order that was sent and not answered may have been accepted.
        mayBeAccepted = result.answer ? result.answer->status < net::status::kFirstRedirect : result.failure.outcome != verdict::NotRun;
        outcome = result.answer ? "status_" + std::to_string(result.answer->status) : result.failure.reason;
    } else if (report) {
        outcome = report->busy ? "busy" : "not_needed";
    }
    m_pending.erase(run.id);
    if (!mayBeAccepted) {
        const registration *known = m_state.registry.find(run.id);
        const registration &current = known != nullptr && known->phase ? *known : run;
        m_state.announcePhaseMove(current, *current.phase);
    }
    m_state.log(log_level::Info, "phase_ordered", {upstreamField(run.id), {"to", nameOf(to)}, {"fencing_token", std::to_string(token)}, {"outcome", outcome}});
}

} // namespace heatherroute::node
