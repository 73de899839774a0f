#include "node/stream_origins.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

#include "node/core_time.h"

namespace heatherroute::node
{

namespace asio = boost::asio;

namespace
{

/// How long an engine's work waits for one other entry. Its acknowledgement comes during the prefill.
constexpr std::chrono::milliseconds kKeptTimeout{60};
/// How long it waits for all entries that may remember another version.
constexpr std::chrono::milliseconds kKeptByAllTimeout{400};
/// Longer than any query takes.
constexpr std::chrono::milliseconds kListTimeout{300}; ///< For a read of the registrations; the store answers within some milliseconds.
constexpr std::chrono::milliseconds kListInterval{100}; ///< Between two such reads, each of which is a call to the store.
constexpr std::chrono::milliseconds kListPollInterval{10};
constexpr std::chrono::seconds kQueryTimeout{2};
/// How long a caller that takes up a stream waits for its writer to become certain. Readers of the store read every 0.9 s and tell it at once.
constexpr std::chrono::milliseconds kDoubtTimeout{1'300};
constexpr std::chrono::milliseconds kDoubtPollInterval{200};
/// How long a caller that takes up a stream waits for the records to be read.
constexpr std::chrono::milliseconds kRecordsTimeout{1'000};
/// Between two reads of the records, which load the store.
constexpr std::chrono::milliseconds kMinReadInterval{400};
/// After which a read that hasn't ended is begun again.
constexpr std::chrono::seconds kMaxReadTime{5};

} // namespace

stream_origins::stream_origins(asio::any_io_executor executor, stream_origins_hooks hooks, const std::string &entryName)
    : m_executor(std::move(executor))
    , m_hooks(std::move(hooks))
    , m_exchange(stream_origin_exchange::make({}, m_hooks.onlyVersion))
    , m_writers(stream_writers::make({}))
    , m_records(m_executor, {m_hooks.send, m_hooks.record, m_hooks.hasSeveralVersions, m_hooks.countRecord}, entryName)
{ }

void stream_origins::tell(const stream_origin &origin)
{
    send(m_exchange.tell(coreNow(), origin));
}

asio::awaitable<bool> stream_origins::waitUntilKept(std::uint64_t stream, bool byAll)
{
    const instant until = coreNow() + (byAll ? kKeptByAllTimeout : kKeptTimeout);
    asio::steady_timer timer(m_executor);
    while (!(byAll ? m_exchange.isKeptByAll(stream) : m_exchange.isKept(stream))) {
        const duration left = until - coreNow();
        if (left <= duration::zero()) {
            co_return false;
        }
        timer.expires_after(left);
        m_keptWaits.insert(&timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_keptWaits.erase(&timer);
    }
    co_return true;
}

void stream_origins::noteWriter(std::uint64_t stream, const registration &run, bool isConfirmed)
{
    if (const auto origin = m_exchange.toldOrigin(stream)) {
        m_writers.begin(*origin, {run.id, run.startedAt}, isConfirmed);
    }
}

void stream_origins::notePart(std::uint64_t stream, bool isResumable)
{
    if (const auto origin = m_writers.notePart(coreNow(), stream)) {
        m_records.addBegun(*origin, isResumable);
    }
}

asio::awaitable<void> stream_origins::waitUntilRecorded(std::uint64_t stream, duration maxWait)
{
    co_await m_records.waitUntilRecorded(stream, maxWait);
}

void stream_origins::tellChanged(const stream_origin &origin)
{
    tell(origin);
    m_records.addAgain(origin);
}

void stream_origins::noteInstance(const registration &run)
{
    for (const stream_origin &origin : m_writers.noteInstance(run)) {
        tellChanged(origin);
        if (!m_writers.isWriting(origin.stream)) {
            m_exchange.finish(origin.stream);
        }
    }
}

void stream_origins::noteList(instant at)
{
    m_writers.noteList(at);
}

asio::awaitable<void> stream_origins::noteEnd(std::uint64_t stream, bool isComplete, bool waits)
{
    const std::optional<stream_origin> doubtful = m_writers.end(coreNow(), stream, isComplete);
    if (!doubtful) {
        co_return;
    }
    tellChanged(*doubtful);
    if (waits) {
        co_await waitUntilKept(stream, true);
    }
}

void stream_origins::finish(std::uint64_t stream)
{
    if (const auto doubtful = m_writers.end(coreNow(), stream, false)) {
        tellChanged(*doubtful);
    }
    m_exchange.finish(stream);
}

asio::awaitable<std::optional<stream_origin>> stream_origins::find(sought_stream sought, bool isNamed)
{
    if (auto known = findCertain(sought)) {
        co_return known;
    }
    std::optional<stream_origin> only = co_await findOnlyVersion(sought);
    if (only) {
        co_return only;
    }
    std::optional<stream_origin> origin = co_await queryUntilCertain(sought);
    if (!origin && isNamed) {
        const bool needsVersions = m_hooks.mayBeOnly(sought.service) && m_hooks.hasShortHistory(sought.window);
        co_await waitForRecords(needsVersions);
        origin = m_exchange.find(coreNow(), sought);
    }
    co_return origin;
}

std::optional<stream_origin> stream_origins::findCertain(const sought_stream &sought) const
{
    std::optional<stream_origin> known = m_exchange.find(coreNow(), sought);
    if (known && known->version.empty()) {
        // Whichever instance has written it, its version is the only one that has served.
        known->revision += 1;
        known->version = m_hooks.onlyVersion(sought).value_or("");
    }
    return known && !known->version.empty() ? known : std::nullopt;
}

asio::awaitable<std::optional<stream_origin>> stream_origins::queryUntilCertain(sought_stream sought)
{
    const instant giveUpAt = coreNow() + kDoubtTimeout;
    while (true) {
        std::optional<stream_origin> origin = findCertain(sought);
        if (!origin) {
            std::optional<stream_origin> told = co_await query(sought);
            origin = std::move(told);
        }
        if (!origin || !origin->version.empty() || coreNow() >= giveUpAt) {
            co_return origin;
        }
        asio::steady_timer timer(m_executor, kDoubtPollInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<std::optional<stream_origin>> stream_origins::query(sought_stream sought)
{
    std::vector<addressed_origin_message> sends;
    const std::uint32_t number = m_exchange.ask(coreNow(), sought, &sends);
    asio::steady_timer timer(m_executor, kQueryTimeout);
    m_queries.emplace(number, waiting_query{&timer, std::nullopt});
    send(std::move(sends));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    std::optional<stream_origin> origin = std::move(m_queries.at(number).origin);
    m_queries.erase(number);
    co_return origin;
}

asio::awaitable<std::optional<stream_origin>> stream_origins::findOnlyVersion(sought_stream sought)
{
    const instant giveUpAt = coreNow() + kListTimeout;
    while (m_hooks.mayBeOnly(sought.service) && coreNow() < giveUpAt) {
        if (coreNow() - m_upstreamsWantedAt >= kListInterval) {
            m_upstreamsWantedAt = coreNow();
            m_hooks.readUpstreams();
        }
        asio::steady_timer timer(m_executor, kListPollInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (auto origin = findCertain(sought)) {
            co_return origin;
        }
    }
    co_return std::nullopt;
}

asio::awaitable<void> stream_origins::waitForRecords(bool withVersions)
{
    const instant now = coreNow();
    const bool isReading = m_readBegunAt && now - *m_readBegunAt < kMaxReadTime;
    if (!isReading && m_readAt && now - *m_readAt < kMinReadInterval) {
        co_return;
    }
    if (!isReading) {
        m_readBegunAt = now;
        m_hooks.readRecords(withVersions);
    }
    asio::steady_timer timer(m_executor, kRecordsTimeout);
    m_recordWaits.insert(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_recordWaits.erase(&timer);
}

void stream_origins::recordAgain()
{
    for (const stream_origin &origin : m_writers.begun()) {
        m_records.addAgain(origin);
    }
}

void stream_origins::onOriginsRecorded()
{
    m_records.onRecorded();
}

void stream_origins::onRecorded(const std::vector<stream_origin> &origins, bool isLast)
{
    const instant now = coreNow();
    for (const stream_origin &origin : origins) {
        m_exchange.note(now, origin);
    }
    if (isLast) {
        m_readBegunAt.reset();
        m_readAt = now;
        for (asio::steady_timer *timer : m_recordWaits) {
            timer->cancel();
        }
    }
}

void stream_origins::setMembers(const std::vector<member> &others)
{
    m_exchange.setMembers(others);
    m_records.setMembers(others);
}

void stream_origins::onMessage(const std::string &from, const stream_origin_message &message)
{
    if (m_records.onMessage(from, message)) {
        return;
    }
    carryOut(m_exchange.onMessage(coreNow(), from, message));
    if (std::holds_alternative<stream_origin_ack>(message)) {
        for (asio::steady_timer *timer : m_keptWaits) {
            timer->cancel();
        }
    }
}

void stream_origins::advance()
{
    for (const stream_origin &origin : m_writers.advance(coreNow())) {
        tellChanged(origin);
        m_exchange.finish(origin.stream);
    }
    carryOut(m_exchange.advance(coreNow()));
    m_records.advance();
}

void stream_origins::stop()
{
    send(m_exchange.handOver(coreNow()));
}

void stream_origins::carryOut(origin_effects effects)
{
    send(std::move(effects.sends));
    for (origin_query_result &result : effects.results) {
        if (const auto found = m_queries.find(result.number); found != m_queries.end()) {
            found->second.origin = std::move(result.origin);
            found->second.timer->cancel();
        }
    }
}

void stream_origins::send(std::vector<addressed_origin_message> messages)
{
    for (addressed_origin_message &each : messages) {
        m_hooks.send(std::move(each.message), std::move(each.peerAddress));
    }
}

} // namespace heatherroute::node
