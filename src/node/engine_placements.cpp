#include "node/engine_placements.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include "node/core_time.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

/// Several round trips between availability zones, and the pause of a coordinator that has used up its share of a core.
constexpr std::chrono::milliseconds kReplyTimeout{80};
constexpr std::chrono::milliseconds kRepeatDelay{40}; ///< After which a request, or its last reply, counts as lost.
constexpr std::chrono::milliseconds kSilentTime{500}; ///< How long a coordinator that did not reply isn't asked.
constexpr std::chrono::milliseconds kReportInterval{1'000};
constexpr std::chrono::milliseconds kFlushDelay{20}; ///< Ends within this time are reported together.
constexpr std::chrono::milliseconds kServeInterval{20}; ///< Between two checks whether waiting requests are still in time.
constexpr std::size_t kMaxLinesPerSecond = 20;
constexpr std::size_t kMaxEndedKept = 1'024; ///< By pool; those beyond expire at the coordinator.

std::string textOf(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace

engine_placements::engine_placements(
    asio::any_io_executor executor, engine_placements_hooks hooks, const std::string &entryName, std::uint32_t minEntries, std::uint64_t seed)
    : m_executor(std::move(executor))
    , m_hooks(std::move(hooks))
    , m_minEntries(minEntries)
    , m_choice(coordinator_choice::make(entryName))
    , m_seed(seed)
{
    // A random start distinguishes the numbers of this process from those of an earlier one at the same address.
    std::mt19937_64 random(seed);
    m_nextNumber = (random() >> 1U) + 1;
}

bool engine_placements::isActive() const noexcept
{
    return m_minEntries > 0 && m_alive >= m_minEntries && !m_isStopping;
}

coordinator engine_placements::coordinatorOf(const upstream_pool &pool) const
{
    const std::vector<coordinator> first = m_choice.firstOf("pool/" + nameOf(pool), 1);
    return first.empty() ? coordinator{} : first.front();
}

engine_placement_ledger &engine_placements::ledgerOf(const upstream_pool &pool)
{
    const instant now = coreNow();
    auto found = m_ledgers.find(pool);
    if (found == m_ledgers.end()) {
        found = m_ledgers.emplace(pool, engine_placement_ledger::make({}, *pool.phase, now, m_seed)).first;
    }
    found->second.setEngines(m_hooks.enginesOf(pool.service, *pool.phase));
    return found->second;
}

void engine_placements::ask(const coordinator &to, const engine_placement_request &message)
{
    if (!to.peerAddress.empty()) {
        m_hooks.send(message, to.peerAddress);
        return;
    }
    const upstream_pool pool{message.service, message.phase};
    carryOut(pool, ledgerOf(pool).onRequest(coreNow(), "", message));
}

asio::awaitable<placement_answer> engine_placements::place(engine_placement_request request)
{
    const upstream_pool pool{request.service, request.phase};
    const coordinator asked = coordinatorOf(pool);
    const auto silent = m_silentUntil.find(asked.name);
    if (!isActive() || asked.name.empty() || (silent != m_silentUntil.end() && silent->second > coreNow())) {
        co_return placement_answer{};
    }
    request.number = m_nextNumber++;
    const instant sentAt = coreNow();
    const duration maxWait = std::chrono::milliseconds(request.maxWaitMs);
    asio::steady_timer timer(m_executor);
    m_waiting.emplace(request.number, waiting_request{&timer, std::nullopt, false});
    ask(asked, request);
    bool repeatedAtOnce = false;
    bool repeatedAtEnd = false;
    while (!m_waiting.at(request.number).reply) {
        // Until the coordinator has said that the request is queued, the request or the reply may be lost; later on, the final reply.
        const bool queued = m_waiting.at(request.number).queued;
        const duration queueTime = queued ? maxWait : duration::zero();
        const instant giveUpAt = sentAt + queueTime + kReplyTimeout;
        const instant repeatAt = sentAt + queueTime + kRepeatDelay;
        bool &repeated = queued ? repeatedAtEnd : repeatedAtOnce;
        const instant now = coreNow();
        if (now >= giveUpAt) {
            break;
        }
        if (!repeated && now >= repeatAt) {
            repeated = true;
            ask(asked, request);
            continue;
        }
        timer.expires_after((repeated ? giveUpAt : repeatAt) - now);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    const std::optional<placement_reply> reply = std::move(m_waiting.at(request.number).reply);
    m_waiting.erase(request.number);
    if (!reply) {
        m_silentUntil[asked.name] = coreNow() + kSilentTime;
        m_hooks.log(log_level::Info, "placement_not_replied", {{"pool", nameOf(pool)}, {"coordinator", asked.name}});
    }
    co_return answerOf(request, reply);
}

placement_answer engine_placements::answerOf(const engine_placement_request &request, const std::optional<placement_reply> &reply)
{
    const upstream_pool pool{request.service, request.phase};
    placement_answer answer;
    answer.number = request.number;
    if (!reply) {
        // The coordinator may have placed it all the same.
        noteEnded(pool, request.number);
        m_hooks.count("no_reply");
    } else if (!reply->engine.empty()) {
        answer.outcome = placement_outcome::Assigned;
        answer.engine = reply->engine;
        m_own.emplace(request.number, own_placement{pool, reply->engine, request.tokens});
        m_hooks.count("assigned");
    } else if (reply->waitMs > 0) {
        answer.outcome = placement_outcome::NoRoom;
        answer.wait = std::chrono::milliseconds(reply->waitMs);
        m_hooks.count("no_room");
    } else {
        m_hooks.count("no_engine");
    }
    return answer;
}

std::uint64_t engine_placements::adopt(const std::string &service, engine_phase phase, const std::string &engine, std::uint32_t tokens)
{
    if (!isActive()) {
        return 0;
    }
    const std::uint64_t number = m_nextNumber++;
    const upstream_pool pool{service, phase};
    m_own.emplace(number, own_placement{pool, engine, tokens});
    m_hooks.count("own_choice");
    placement_report message{service, phase, {}, {{number, engine, tokens}}};
    report(pool, std::move(message));
    return number;
}

void engine_placements::end(std::uint64_t number)
{
    const auto found = m_own.find(number);
    if (found == m_own.end()) {
        return;
    }
    const upstream_pool pool = found->second.pool;
    m_own.erase(found);
    noteEnded(pool, number);
}

void engine_placements::noteEnded(const upstream_pool &pool, std::uint64_t number)
{
    std::vector<std::uint64_t> &ended = m_ended[pool];
    if (ended.size() < kMaxEndedKept) {
        ended.push_back(number);
    }
    if (!m_isFlushing) {
        m_isFlushing = true;
        asio::co_spawn(m_executor, flushEnded(), asio::detached);
    }
}

asio::awaitable<void> engine_placements::flushEnded()
{
    asio::steady_timer timer(m_executor, kFlushDelay);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_isFlushing = false;
    const auto ended = std::exchange(m_ended, {});
    for (const auto &[pool, numbers] : ended) {
        std::vector<std::uint64_t> &before = m_endedBefore[pool];
        before.insert(before.end(), numbers.begin(), numbers.end());
        reportEnded(pool, numbers);
    }
}

void engine_placements::reportEnded(const upstream_pool &pool, const std::vector<std::uint64_t> &numbers)
{
    for (std::size_t begin = 0; begin < numbers.size(); begin += kMaxReportedPlacements) {
        const std::size_t end = std::min(begin + kMaxReportedPlacements, numbers.size());
        placement_report message;
        message.service = pool.service;
        message.phase = *pool.phase;
        message.ended.assign(numbers.begin() + static_cast<std::ptrdiff_t>(begin), numbers.begin() + static_cast<std::ptrdiff_t>(end));
        report(pool, std::move(message));
    }
}

void engine_placements::report(const upstream_pool &pool, placement_report message)
{
    const coordinator to = coordinatorOf(pool);
    if (to.name.empty()) {
        return;
    }
    if (!to.peerAddress.empty()) {
        m_hooks.send(std::move(message), to.peerAddress);
    } else {
        carryOut(pool, ledgerOf(pool).onReport(coreNow(), "", message));
    }
}

void engine_placements::reportCurrent()
{
    for (const auto &[pool, numbers] : std::exchange(m_endedBefore, {})) {
        reportEnded(pool, numbers);
    }
    std::map<upstream_pool, placement_report> reports;
    for (const auto &[number, own] : m_own) {
        placement_report &message = reports[own.pool];
        message.service = own.pool.service;
        message.phase = *own.pool.phase;
        message.current.push_back({number, own.engine, own.tokens});
        if (message.current.size() == kMaxReportedPlacements) {
            report(own.pool, std::exchange(message, {}));
        }
    }
    for (auto &[pool, message] : reports) {
        if (!message.current.empty()) {
            report(pool, std::move(message));
        }
    }
}

void engine_placements::setMembers(const std::vector<member> &others)
{
    m_choice.setMembers(others);
    m_alive = 1 + static_cast<std::size_t>(std::count_if(others.begin(), others.end(), [](const member &one) { return one.state == member_state::Alive; }));
}

void engine_placements::onMessage(const std::string &from, const engine_placement_message &message)
{
    if (const auto *reply = std::get_if<placement_reply>(&message)) {
        onReply(*reply);
        return;
    }
    if (m_minEntries == 0) {
        return;
    }
    if (const auto *request = std::get_if<engine_placement_request>(&message)) {
        const upstream_pool pool{request->service, request->phase};
        if (m_isStopping || m_hooks.enginesOf(pool.service, request->phase).empty()) {
            placement_reply none;
            none.number = request->number;
            m_hooks.send(none, from);
            return;
        }
        carryOut(pool, ledgerOf(pool).onRequest(coreNow(), from, *request));
        return;
    }
    const auto &report = std::get<placement_report>(message);
    const upstream_pool pool{report.service, report.phase};
    if (!m_isStopping && (m_ledgers.contains(pool) || !m_hooks.enginesOf(pool.service, report.phase).empty())) {
        carryOut(pool, ledgerOf(pool).onReport(coreNow(), from, report));
    }
}

void engine_placements::onReply(const placement_reply &reply)
{
    const auto found = m_waiting.find(reply.number);
    if (found == m_waiting.end()) {
        return;
    }
    if (reply.queued) {
        found->second.queued = true;
    } else {
        found->second.reply = reply;
    }
    found->second.timer->cancel();
}

void engine_placements::carryOut(const upstream_pool &pool, const std::vector<placement_decision> &decisions)
{
    for (const placement_decision &decision : decisions) {
        logDecision(pool, decision);
        if (decision.sender.empty()) {
            onReply(decision.reply);
        } else {
            m_hooks.send(decision.reply, decision.sender);
        }
    }
    startServing();
}

void engine_placements::logDecision(const upstream_pool &pool, const placement_decision &decision)
{
    const instant now = coreNow();
    if (now - m_logSecond >= std::chrono::seconds(1)) {
        m_logSecond = now;
        m_logged = 0;
    }
    if (m_logged >= kMaxLinesPerSecond) {
        m_notLogged += 1;
        return;
    }
    m_logged += 1;
    m_hooks.log(log_level::Info,
                "placement_decided",
                {{"pool", nameOf(pool)},
                 {"entry", decision.sender.empty() ? "self" : decision.sender},
                 {"decision", toString(decision.kind)},
                 {"engine", decision.reply.engine},
                 {"priority", std::to_string(decision.priority)},
                 {"ahead", std::to_string(decision.ahead)},
                 {"waited_ms", textOf(decision.waited)},
                 {"expected_wait_ms", std::to_string(decision.reply.waitMs)},
                 {"not_logged", std::to_string(std::exchange(m_notLogged, 0))}});
}

bool engine_placements::hasWaiting() const
{
    return std::any_of(m_ledgers.begin(), m_ledgers.end(), [](const auto &one) {
        const auto waiting = one.second.waiting();
        return std::any_of(waiting.begin(), waiting.end(), [](std::size_t number) { return number > 0; });
    });
}

void engine_placements::startServing()
{
    if (!m_isServing && hasWaiting()) {
        m_isServing = true;
        asio::co_spawn(m_executor, serveWaiting(), asio::detached);
    }
}

asio::awaitable<void> engine_placements::serveWaiting()
{
    while (hasWaiting()) {
        asio::steady_timer timer(m_executor, kServeInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        for (auto &[pool, ledger] : m_ledgers) {
            carryOut(pool, ledgerOf(pool).advance(coreNow()));
        }
    }
    m_isServing = false;
}

void engine_placements::advance()
{
    const instant now = coreNow();
    if (now - m_reportedAt >= kReportInterval) {
        m_reportedAt = now;
        reportCurrent();
    }
    std::array<std::size_t, engine_placement_ledger::kPriorities> waiting{};
    for (auto &[pool, ledger] : m_ledgers) {
        carryOut(pool, ledgerOf(pool).advance(now));
        const auto own = ledger.waiting();
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            waiting.at(i) += own.at(i);
        }
        m_hooks.showBusiest(nameOf(pool), ledger.busiestShare());
    }
    for (std::uint32_t priority = 0; priority < waiting.size() && !m_ledgers.empty(); ++priority) {
        m_hooks.showWaiting(priority, waiting.at(priority));
    }
    std::erase_if(m_silentUntil, [now](const auto &one) { return one.second <= now; });
    // A ledger without placements belongs to a pool that another entry coordinates by now, or that has no load.
    if (!hasWaiting()) {
        std::erase_if(m_ledgers, [](const auto &one) { return one.second.size() == 0; });
    }
}

void engine_placements::stop()
{
    m_isStopping = true;
    m_choice.stop();
    for (auto &[pool, ledger] : m_ledgers) {
        carryOut(pool, ledger.stop());
    }
    m_ledgers.clear();
}

} // namespace heatherroute::node
