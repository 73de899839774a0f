#include "node/reach_monitor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

#include "net/http_client.h"
#include "net/port_check.h"
#include "node/core_time.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint32_t kSendsPerStatement = 3; ///< A datagram may be lost.
/// Allows for several round trips between availability zones.
constexpr std::chrono::milliseconds kCheckTimeout{150};

} // namespace

reach_monitor::reach_monitor(asio::any_io_executor executor, reach_monitor_hooks hooks, std::uint64_t incarnation)
    : m_executor(std::move(executor))
    , m_hooks(std::move(hooks))
    , m_reach(service_reach::make({}))
{
    m_statement.incarnation = incarnation;
}

void reach_monitor::setAddress(std::string address)
{
    m_statement.address = std::move(address);
    m_statement.number += 1;
    m_sendsLeft = kSendsPerStatement;
}

void reach_monitor::noteConnected(const registration &run)
{
    const upstream_pool pool = poolOf(run);
    if (m_reach.noteConnected(coreNow(), nameOf(pool), run.id) == reach_state::Reached) {
        return;
    }
    m_hooks.log(log_level::Info, "upstreams_reached_again", {{"pool", nameOf(pool)}, upstreamField(run.id)});
    m_hooks.onReachedAgain(pool);
    updateStatement();
}

void reach_monitor::noteFailed(const registration &run, instant startedAt, bool isRefused)
{
    const upstream_pool pool = poolOf(run);
    const std::string name = nameOf(pool);
    m_pools.emplace(name, pool);
    const bool wasReached = isReached(pool);
    m_reach.noteFailed({name, run.id, startedAt, isRefused});
    startChecks(pool);
    if (wasReached && !isReached(pool)) {
        m_hooks.log(log_level::Warning, "upstreams_suspected", {{"pool", name}, upstreamField(run.id), {"refused", isRefused ? "true" : "false"}});
    }
}

bool reach_monitor::hasConnectedSince(const registration &run, instant at) const
{
    return m_reach.hasConnectedSince(at, nameOf(poolOf(run)), run.id);
}

bool reach_monitor::isReached(const upstream_pool &pool) const
{
    return m_reach.state(nameOf(pool)) == reach_state::Reached;
}

bool reach_monitor::isCutOff(const upstream_pool &pool) const
{
    return m_reach.state(nameOf(pool)) == reach_state::CutOff;
}

void reach_monitor::startChecks(const upstream_pool &pool)
{
    const std::string name = nameOf(pool);
    const bool wasReached = m_reach.state(name) == reach_state::Reached;
    const std::vector<registration> upstreams = m_hooks.upstreamsOf(pool);
    std::vector<std::string> ids;
    ids.reserve(upstreams.size());
    std::transform(upstreams.begin(), upstreams.end(), std::back_inserter(ids), [](const registration &run) { return run.id; });
    const std::vector<std::string> due = m_reach.dueChecks(coreNow(), name, ids);
    for (const registration &run : upstreams) {
        if (std::find(due.begin(), due.end(), run.id) != due.end()) {
            asio::co_spawn(m_executor, check(run), asio::detached);
        }
    }
    if (!wasReached && m_reach.state(name) == reach_state::Reached) {
        m_hooks.onReachedAgain(pool);
    }
    updateStatement();
}

asio::awaitable<void> reach_monitor::check(registration run)
{
    const instant startedAt = coreNow();
    const auto endpoint = net::parseEndpoint(run.address);
    net::port_state state = net::port_state::Silent;
    if (endpoint) {
        state = co_await net::checkPort(*endpoint, kCheckTimeout);
    }
    m_reach.noteChecked(nameOf(poolOf(run)), run.id);
    if (state == net::port_state::Open) {
        noteConnected(run);
        co_return;
    }
    m_hooks.onCheckFailed(run);
    noteFailed(run, startedAt, state == net::port_state::Refused);
}

void reach_monitor::updateStatement()
{
    std::set<std::string> cutOff = m_reach.cutOffPools();
    if (cutOff == m_cutOff) {
        return;
    }
    const std::set<std::string> before = std::exchange(m_cutOff, cutOff);
    m_statement.cutOffPools.assign(m_cutOff.begin(), m_cutOff.end());
    m_statement.cutOffPools.resize(std::min(m_statement.cutOffPools.size(), kMaxCutOffPools));
    m_statement.number += 1;
    m_sendsLeft = kSendsPerStatement;
    std::string names;
    for (const std::string &pool : m_cutOff) {
        names += (names.empty() ? "" : ",") + pool;
    }
    m_hooks.log(log_level::Warning, "cut_off_pools_changed", {{"pools", names}});
    if (!m_statement.address.empty()) {
        --m_sendsLeft;
        m_hooks.send(m_statement, std::nullopt);
    }
    for (const std::string &pool : cutOff) {
        if (!before.contains(pool)) {
            checkOtherPhase(m_pools.at(pool));
        }
    }
}

void reach_monitor::checkOtherPhase(const upstream_pool &pool)
{
    if (!pool.phase) {
        return;
    }
    const upstream_pool other{pool.service, *pool.phase == engine_phase::Prefill ? engine_phase::Decode : engine_phase::Prefill};
    if (isReached(other)) {
        m_pools.emplace(nameOf(other), other);
        m_reach.suspect(nameOf(other));
        startChecks(other);
    }
}

void reach_monitor::advance()
{
    const std::set<std::string> unreached = m_reach.unreachedPools();
    for (const std::string &name : unreached) {
        startChecks(m_pools.at(name));
    }
    if (m_statement.address.empty()) {
        return;
    }
    if (m_sendsLeft > 0) {
        --m_sendsLeft;
        m_hooks.send(m_statement, std::nullopt);
        m_introductions.clear();
    }
    for (auto &[peerAddress, left] : m_introductions) {
        --left;
        m_hooks.send(m_statement, peerAddress);
    }
    std::erase_if(m_introductions, [](const auto &one) { return one.second == 0; });
}

void reach_monitor::introduceTo(const std::string &peerAddress)
{
    m_introductions[peerAddress] = kSendsPerStatement;
}

} // namespace heatherroute::node
